#pragma once

#include "bench/internal/workload.h"
#include "routing/types/reports.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondline::bench {

class simulation;

/// Engines of one hardware generation. Times in s.
struct engine_class {
    std::string name;
    double prefill_rate = 0;    ///< tokens/s
    double step_base = 0;       ///< fixed part of each step
    double step_per_stream = 0; ///< added by each decoding stream
    int chunk = 256;            ///< most prompt tokens computed in one step
    double kv_tokens = 0;
    double cache_tokens = 0; ///< capacity of the prefix cache
    int max_in_flight = 1;   ///< limit in the manifest; the engine itself admits up to max_batch
};

constexpr int max_batch = 256;
constexpr std::size_t max_engine_waiting = 100; ///< further requests are refused
constexpr double block_tokens = 128;

/// Simulated engine in virtual time: continuous batching in steps with chunked prefill, a prefix
/// cache of bounded size, preemption when the KV memory is full, and no request priorities.
class fake_engine {
public:
    fake_engine(simulation& sim, int index, engine_class config);

    /// Returns false if the engine refuses the request before admission.
    bool submit(simulated_request& request);
    void cancel(simulated_request& request);

    routing::load_report report() const;
    /// Returns the cache events after a sequence number. Only the most recent events are kept.
    routing::cache_events events_after(std::uint64_t after) const;

    const engine_class& description() const { return class_; }
    int in_flight() const { return static_cast<int>(running_.size() + waiting_.size()); }
    void set_slowdown(double factor) { slowdown_ = factor; }

    /// Whether the waiting list counts as waiting work when shedding inversions are detected.
    bool counts_waiting = false;

private:
    struct sequence {
        simulated_request* request = nullptr;
        double to_compute = 0; ///< prompt tokens left
        double computed = 0;
        double produced = 0;
        bool has_started = false;
    };

    void start_step();
    void end_step(double duration);
    void admit();
    void start_prefill(sequence& entry);
    double prefill(double budget);
    void preempt();
    void store_blocks(const simulated_request& request);
    void add_event(routing::cache_event_kind kind, std::uint64_t block);
    std::size_t cached_blocks(const simulated_request& request);
    void count_waiting(const simulated_request& request, int change);

    simulation& sim_;
    int index_;
    engine_class class_;
    double slowdown_ = 1;
    bool is_stepping_ = false;
    double kv_used_ = 0;
    std::deque<sequence> waiting_;
    std::vector<sequence> running_;
    std::list<std::uint64_t> recent_; ///< cached blocks, most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
    std::deque<routing::cache_event> events_;
    std::uint64_t next_event_ = 1;
};

} // namespace almondline::bench
