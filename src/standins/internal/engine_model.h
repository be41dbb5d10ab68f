#pragma once

#include "standins/internal/prefix_cache.h"

#include <deque>
#include <string>
#include <vector>

namespace almondline::standins {

/// Speeds and limits of an engine.
struct engine_speed {
    double prefill_rate = 20'000;      ///< prompt tokens/s, shared by all sequences
    double decode_rate = 100;          ///< tokens/s of a stream that is alone
    double decode_interference = 0.02; ///< loss of speed by each further stream
    double time_scale = 1;             ///< above 1: faster than real time
    double slow_factor = 1;            ///< above 1: slower
    std::size_t max_running = 32;      ///< sequences of the batch
    double kv_capacity_tokens = 200'000;
};

/// One request in the engine.
struct sequence {
    std::string id;
    std::vector<std::uint64_t> blocks;
    double prompt_tokens = 0;
    double cached_tokens = 0; ///< of the prompt, found in the prefix cache
    double prefill_left = 0;
    double prefill_done = 0;
    double decoded = 0;
    int max_tokens = 0;
    bool has_started = false;
};

/// Work that was done, in tokens.
struct engine_counts {
    double prefilled = 0;
    double wasted_prefill = 0; ///< of preempted or cancelled sequences
    double cached = 0;
    std::uint64_t preemptions = 0;
};

/// Continuous batching without priority: sequences join the batch in the order of arrival.
struct engine_model {
    engine_speed speed;
    prefix_cache cache;
    std::deque<sequence> waiting;
    std::vector<sequence> running; ///< in the order of admission
    engine_counts counts;
};

struct progress {
    std::string id;
    int tokens = 0;
    double cached_tokens = 0;
    bool has_started = false; ///< prefill began in this step
};

struct step_result {
    std::vector<progress> progressed;
    std::vector<cache_change> cache_changes;
};

void add_sequence(engine_model& engine, sequence it);
/// Returns false if the engine has no such sequence.
bool cancel_sequence(engine_model& engine, const std::string& id);
/// Runs the batch for a span of real time. Sequences with max_tokens tokens are removed.
step_result advance(engine_model& engine, double seconds);
double kv_used_tokens(const engine_model& engine);

} // namespace almondline::standins
