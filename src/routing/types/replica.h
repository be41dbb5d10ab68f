#pragma once

#include "common/clock.h"
#include "routing/types/rate_limiter.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondline::routing {

/// Description of a backend server from the instance list and the manifest.
struct replica_spec {
    std::string id;
    std::string address;
    std::string failure_domain;
    std::string engine_class;
    double prefill_rate = 10'000; ///< tokens per second, nominal for its engine class
    double decode_rate = 50;      ///< tokens per second of one stream, nominal for its engine class
    double kv_tokens = 0;         ///< KV cache capacity in tokens, 0: unlimited
    int max_in_flight = 1;
    bool is_leaving = false;
};

/// A request that was dispatched to a replica and has not finished.
struct dispatched_work {
    steady_time dispatched{};
    double prompt_tokens = 0;
    double output_tokens = 0;   ///< estimate
    double uncached_tokens = 0; ///< prompt tokens that the replica was expected to compute
    double prefill_wait = 0;    ///< seconds of prefill expected ahead of it at dispatch
    double prefill_rate = 0;    ///< estimate for the replica at dispatch
    double batch_share = 0;     ///< in_flight over max_in_flight at dispatch
    double kv_tokens = 0;
    bool has_first_token = false;
    bool is_probe = false;
    bool is_rate_limited = false; ///< counted by the replica's rate limiter
};

/// Number of own requests in flight at an earlier time, to interpret a delayed load report.
struct in_flight_sample {
    steady_time at{};
    int in_flight = 0;
};

/// Records that a block was used.
struct block_use {
    std::uint64_t block = 0;
    std::uint64_t use = 0; ///< number from replica_table::next_use, in the order of use
};

enum class replica_health {
    healthy,
    ejected, ///< failed; gets only single requests as probes
};

/// State of one replica.
struct replica {
    replica_spec spec;
    std::size_t class_index = 0;     ///< in replica_table::classes
    bool is_present = false;         ///< false: element of a removed replica, to be reused
    std::vector<std::string> models; ///< loaded models, from its last report
    /// False until a report contains a model or a managed role. Until then, every model is assumed
    /// to be loaded.
    bool has_known_models = false;
    bool is_ordered_to_drain = false; ///< by the placement lease holder
    bool reports_draining = false;    ///< the role in its last report is "draining"
    steady_time draining_since{};     ///< set while it drains for either reason
    /// Set by the instance list, its own report or mark_leaving(). Stays set until the process is
    /// replaced.
    bool is_leaving = false;
    double prefill_rate = 0;     ///< estimate, tokens per second
    double decode_rate = 0;      ///< estimate, tokens per second of a stream that runs alone
    double kv_capacity = 0;      ///< tokens, as reported or else as specified; 0: unlimited
    bool keeps_headroom = false; ///< one of the fastest, see routing_config::headroom_share
    bool is_kv_reported = false;
    int in_flight = 0;             ///< own requests, always up to date
    double kv_tokens_used = 0;     ///< reserved by own requests
    steady_time prefill_free_at{}; ///< when the prefill of own requests is expected to be done
    std::unordered_map<std::string, dispatched_work> work; ///< by request id

    rate_limiter limiter;

    steady_time last_report{};   ///< arrival of the last load report
    steady_time report_taken{};  ///< when the engine took the report
    int reported_requests = 0;   ///< requests in the report, own ones included
    double reported_others = 0;  ///< requests in the report that are not own ones
    steady_time last_progress{}; ///< latest first token, finished request or load report
    steady_time last_sample{};   ///< last update of its speed estimates
    std::deque<in_flight_sample> history;

    replica_health health = replica_health::healthy;
    int failures = 0;         ///< consecutive ejections and failed probes
    bool is_reachable = true; ///< false from a failed connection attempt to the next success
    double failure_rate = 0;  ///< moving average over the latest requests, 0 to 1
    steady_time next_probe{};
    int probes_in_flight = 0;

    std::uint64_t cache_generation = 1; ///< incremented by a gap in the cache events
    std::uint64_t next_cache_event = 0; ///< 0: none received yet
    std::size_t known_blocks = 0;
    std::deque<block_use> block_uses; ///< oldest use first
};

/// A replica that is believed to hold a block.
struct block_holder {
    std::uint32_t replica = 0; ///< index in replica_table::replicas
    std::uint64_t generation = 0;
    std::uint64_t use = 0; ///< last use
};

struct routing_config {
    /// Half-life of the load in a report: its weight halves with each such interval of age.
    std::chrono::milliseconds report_half_life{2000};
    /// A replica with requests in flight is unresponsive after this time without progress or a
    /// load report.
    std::chrono::milliseconds unresponsive_after{3000};
    /// Time between probes of an ejected replica; doubled by each failed probe up to the maximum.
    std::chrono::milliseconds probe_interval{1000};
    std::chrono::milliseconds max_probe_interval{30'000};
    /// A replica gets no further prompts while more prefill than this is expected ahead of them;
    /// the requests wait in the queue instead. Zero: no limit. Off by default, because it keeps
    /// reserved slots empty: in a flood of urgent requests, floors got 0.28 of their share at
    /// 300 ms and 0.62 at 1 s.
    std::chrono::milliseconds max_prefill_wait{0};
    /// Weight of one request in a replica's failure rate. 1: only the last request counts.
    double failure_weight = 1;
    /// A replica is ejected when its failure rate rises above eject_above, and reinstated when it
    /// falls below recover_below.
    double eject_above = 0.35;
    double recover_below = 0.2;
    /// Multiplied by the failure rate of a replica and added to its score, in seconds. Moves work
    /// to replicas that fail less often before any is ejected.
    double failure_penalty = 0;
    /// Added to the score of a replica that is expected to be too slow to complete the response in
    /// time, in seconds.
    double overdue_penalty = 0;
    /// Factor applied to the expected decode time in that check, because output estimates are often
    /// far too low, and a stream that is aborted at its time limit has wasted all of its time on
    /// the replica.
    double overdue_margin = 2;
    /// Weight of the delay that a prompt causes to the streams running beside it: its prefill time
    /// is added to the score once for each stream. Slow replicas with many streams get fewer long
    /// prompts.
    double interference_weight = 0;
    /// Added to the score of a replica in another failure domain than the dispatching instance, in
    /// seconds. Keeps prompts off the links between failure domains.
    double remote_penalty = 0;
    /// Multiplied by the share of a replica's slots in use and added to its score, in seconds.
    /// Spreads work whose service time is unknown.
    double balance_weight = 0;
    /// While no replica is healthy, the reachable ones get work as if they were healthy, because
    /// refusing all requests would serve nobody.
    bool uses_ejected_when_none_healthy = false;
    /// A replica that runs below this fraction of its class's usual speed gets fewer slots. 0:
    /// disabled, for engines whose speed hardly depends on the slots in use.
    double slow_below = 0.6;
    /// A prefix hit no longer counts on a replica whose share of slots in use exceeds the mean of
    /// all replicas by more than this.
    double affinity_slack = 0.5;
    /// Tokens in a prefix block. 0: prompt tokens divided by the number of blocks.
    double block_tokens = 0;
    /// Share of all slots, on the fastest replicas, that accounts with a backlog leave to other
    /// accounts while these have demand. On a full replica a prompt takes several times as long as
    /// on an idle one, whatever the order in the queue.
    double headroom_share = 0.15;
    double max_headroom_share = 0.4; ///< limit after rounding up to whole replicas
    double max_kv_share = 0.95;      ///< share of the KV capacity that may be reserved
    /// Relative slowdown of each stream when max_in_flight streams run, compared with one that runs
    /// alone. 1: each takes twice as long.
    double batch_slowdown = 1.0;
    /// Weight of decode time in a score, relative to the time to the first token. At equal weight,
    /// fast replicas accumulate prompts until the wait for the first token outweighs a long output.
    double decode_weight = 0.02;
    double observation_weight = 0.2; ///< weight of one observation in a replica's speed estimates
    std::size_t max_known_blocks = 20'000; ///< per replica
    std::size_t max_blocks_per_prompt = 256;
};

/// Speed estimate from all replicas of an engine class.
struct class_speed {
    std::string name;
    double decode_rate = 0; ///< tokens per second of a stream that runs alone
};

/// Replicas of one pool slice.
struct replica_table {
    routing_config config;
    int healthy = 0; ///< replicas that are healthy and not leaving
    /// Part of the rates advertised by replicas that this granter may use, 0 to 1. Below 1 while
    /// unreachable instances may have another granter.
    double rate_share = 1;
    std::vector<replica> replicas;
    std::vector<class_speed> classes;
    std::unordered_map<std::string, std::uint32_t> index;                       ///< by id
    std::unordered_map<std::uint64_t, std::vector<block_holder>> block_holders; ///< by block
    std::uint64_t next_use = 1;
};

} // namespace almondline::routing
