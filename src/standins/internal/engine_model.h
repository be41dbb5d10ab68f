#pragma once

#include "standins/internal/prefix_cache.h"

#include <deque>
#include <string>
#include <vector>

namespace almondline::standins {

/// Speeds and limits of an engine.
struct engine_speed {
    double prefill_rate = 20'000;      ///< prompt tokens/s, shared by all sequences
    double decode_rate = 100;          ///< tokens/s of a stream that runs alone
    double decode_interference = 0.02; ///< relative slowdown per additional stream
    double time_scale = 1;             ///< above 1: faster than real time
    double slow_factor = 1;            ///< above 1: slower
    std::size_t max_running = 32;      ///< limit of sequences in the batch
    double kv_capacity_tokens = 200'000;
};

/// One request in the engine.
struct sequence {
    std::string id;
    std::vector<std::uint64_t> blocks;
    double prompt_tokens = 0;
    double cached_tokens = 0; ///< prompt tokens found in the prefix cache
    double prefill_left = 0;
    double prefill_done = 0;
    double decoded = 0;
    int max_tokens = 0;
    bool has_started = false;
};

/// Totals of the work done, in tokens.
struct engine_counts {
    double prefilled = 0;
    double wasted_prefill = 0; ///< prefill of preempted or cancelled sequences
    double cached = 0;
    std::uint64_t preemptions = 0; ///< number of sequences
};

/// Continuous batching without priority: sequences join the batch in order of arrival.
struct engine_model {
    engine_speed speed;
    prefix_cache cache;
    std::deque<sequence> waiting;
    std::vector<sequence> running; ///< in order of admission
    engine_counts counts;
};

struct progress {
    std::string id;
    int tokens = 0;
    double cached_tokens = 0;
    bool has_started = false; ///< first admitted to the batch in this step
};

struct step_result {
    std::vector<progress> progressed;
    std::vector<cache_change> cache_changes;
};

void add_sequence(engine_model& engine, sequence it);
/// Returns false if the engine has no such sequence.
bool cancel_sequence(engine_model& engine, const std::string& id);
/// Advances the batch by a span of real time. Removes the sequences that reached max_tokens.
step_result advance(engine_model& engine, double seconds);
double kv_used_tokens(const engine_model& engine);

} // namespace almondline::standins
