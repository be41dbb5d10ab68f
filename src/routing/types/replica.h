#pragma once

#include "common/clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondline::routing {

/// What the instance list and the manifest say of a backend server.
struct replica_spec {
    std::string id;
    std::string address;
    std::string failure_domain;
    std::string engine_class;
    double prefill_rate = 10'000; ///< tokens per second, expected of its engine class
    double decode_rate = 50;      ///< tokens per second of one stream, expected of its class
    double kv_tokens = 0;         ///< KV cache capacity, 0: not limited
    int max_in_flight = 1;
    bool is_leaving = false;
};

/// A request dispatched to a replica and not finished.
struct dispatched_work {
    steady_time dispatched{};
    double prompt_tokens = 0;
    double output_tokens = 0;   ///< estimate
    double uncached_tokens = 0; ///< prompt tokens that it was expected to compute
    double prefill_wait = 0;    ///< s of prefill expected ahead of it
    double prefill_rate = 0;    ///< of the replica as learned by then
    double batch_share = 0;     ///< in flight over max_in_flight at its dispatch
    double kv_tokens = 0;
    bool has_first_token = false;
    bool is_probe = false;
};

/// Own work in progress at an earlier time, to be compared with a late load report.
struct in_flight_sample {
    steady_time at{};
    int in_flight = 0;
};

/// Record that a block was used, in the order of use.
struct block_use {
    std::uint64_t block = 0;
    std::uint64_t use = 0;
};

enum class replica_health {
    healthy,
    ejected, ///< failed or silent: only single probing requests
};

/// State of one replica.
struct replica {
    replica_spec spec;
    std::size_t class_index = 0;     ///< in replica_table::classes
    bool is_present = false;         ///< false: slot of a removed replica, to be used again
    std::vector<std::string> models; ///< loaded, by its last report
    /// False until a report names a model: every model is then taken to be loaded.
    bool has_known_models = false;
    bool is_ordered_to_drain = false; ///< by the placement holder
    bool reports_draining = false;    ///< the role in its last report is draining
    steady_time draining_since{};     ///< set while it drains for either reason
    bool is_leaving = false; ///< by the list or its own report; holds until the process is replaced
    double prefill_rate = 0; ///< learned, tokens per second
    double decode_rate = 0;  ///< learned, tokens per second of a stream that runs alone
    double kv_capacity = 0;  ///< tokens, as reported or else as specified; 0: not limited
    bool keeps_headroom = false; ///< one of the fastest, see routing_config::headroom_share
    bool is_kv_reported = false;
    int in_flight = 0;             ///< own work, known at once
    double kv_tokens_used = 0;     ///< reserved by own work
    steady_time prefill_free_at{}; ///< when the prefill of own work is expected to be done
    std::unordered_map<std::string, dispatched_work> work; ///< by request id

    steady_time last_report{};   ///< arrival of the last load report
    steady_time report_taken{};  ///< when the engine took it
    int reported_requests = 0;   ///< requests in it, own work included
    double reported_others = 0;  ///< requests in it that are not own work
    steady_time last_progress{}; ///< first token, end of a request or load report
    steady_time last_sample{};   ///< last observation of its speed
    std::deque<in_flight_sample> history;

    replica_health health = replica_health::healthy;
    int failures = 0;         ///< in a row
    bool is_reachable = true; ///< the last attempt to connect succeeded
    double failure_rate = 0;  ///< of the latest requests, 0 to 1
    steady_time next_probe{};
    int probes_in_flight = 0;

    std::uint64_t cache_generation = 1; ///< raised by a gap in the cache events
    std::uint64_t next_cache_event = 0; ///< 0: none received yet
    std::size_t known_blocks = 0;
    std::deque<block_use> block_uses; ///< oldest first
};

/// A replica that is believed to hold a block.
struct block_holder {
    std::uint32_t replica = 0; ///< index in replica_table::replicas
    std::uint64_t generation = 0;
    std::uint64_t use = 0; ///< last use
};

struct routing_config {
    /// A load report counts half after this time.
    std::chrono::milliseconds report_half_life{2000};
    /// Work in flight and neither progress nor a report for this long: silent.
    std::chrono::milliseconds silence_limit{3000};
    /// Between probes of an eased replica; doubled by each failed one up to the maximum.
    std::chrono::milliseconds probe_interval{1000};
    std::chrono::milliseconds max_probe_interval{30'000};
    /// A replica gets no further prompt while this much prefill is expected ahead of it; the ask
    /// waits in the queue instead. Zero: no limit. Off by default: it keeps reserved slots empty,
    /// so floors got 0.28 of their share in an urgent flood at 300 ms and 0.62 at 1 s.
    std::chrono::milliseconds max_prefill_wait{0};
    /// Weight of one request in a replica's failure rate. 1: its last request decides.
    double failure_weight = 1;
    /// A replica whose failure rate rises above the first is eased off, and taken back below the
    /// second.
    double eject_above = 0.35;
    double recover_below = 0.2;
    /// Added to the score of a replica, in s, times its failure rate. Moves work to replicas that
    /// fail less before any is eased off.
    double failure_penalty = 0;
    /// Added to the score of a replica, in s, that is expected to be too slow to complete the
    /// response in time.
    double overdue_penalty = 0;
    /// Expected output is taken this many times for that: estimates are often far too low, and a
    /// stream that is cut at its limit wasted all of its time on the replica.
    double overdue_margin = 2;
    /// Weight of the delay that a prompt causes to the streams that run beside it: its prefill time
    /// is added to the score once for each of them. Slow replicas with many streams get fewer long
    /// prompts.
    double interference_weight = 0;
    /// Added to the score of a replica, in s, that is in another failure domain than the instance
    /// that will dispatch. Keeps prompts off the links between failure domains.
    double remote_penalty = 0;
    /// Added to the score of a replica, in s, times the share of its slots in use. Spreads work
    /// whose service time is not known.
    double balance_weight = 0;
    /// While no replica is healthy, those that answer get work as if they were: refusing all of it
    /// serves nobody.
    bool uses_ejected_when_none_healthy = false;
    /// Below this share of the usual speed of its class a replica gets requests in fewer slots. 0:
    /// none does, for engines whose speed hardly depends on the slots in use.
    double slow_below = 0.6;
    /// Share of max_in_flight above the mean share of all replicas at which a prefix hit no longer
    /// counts.
    double affinity_slack = 0.5;
    /// Tokens in a prefix block, 0: prompt tokens divided by the number of blocks.
    double block_tokens = 0;
    /// Share of all slots, on the fastest replicas, that accounts with a backlog leave to others
    /// while these have demand. On a full replica a prompt takes several times as long as on an
    /// idle one, whatever the order in the queue.
    double headroom_share = 0.15;
    double max_headroom_share = 0.4; ///< after rounding up to whole replicas
    double kv_headroom = 0.95;       ///< share of the KV capacity that is filled
    /// Slowdown of each stream when max_in_flight streams run, over one that runs alone.
    double batch_slowdown = 1.0;
    /// Weight of decode time in a score, against time to the first token. At equal weight the fast
    /// replicas collect prompts until the wait for the first token outweighs a long output.
    double decode_weight = 0.02;
    double learning_rate = 0.2;            ///< weight of one observation of speed
    std::size_t max_known_blocks = 20'000; ///< per replica
    std::size_t max_blocks_per_prompt = 256;
};

/// Speed learned from all replicas of an engine class.
struct class_speed {
    std::string name;
    double decode_rate = 0; ///< tokens per second of a stream that runs alone
};

/// Replicas of one slice.
struct replica_table {
    routing_config config;
    int healthy = 0; ///< replicas that may get work and are not eased off
    std::vector<replica> replicas;
    std::vector<class_speed> classes;
    std::unordered_map<std::string, std::uint32_t> index;                       ///< by id
    std::unordered_map<std::uint64_t, std::vector<block_holder>> block_holders; ///< by block
    std::uint64_t next_use = 1;
};

} // namespace almondline::routing
