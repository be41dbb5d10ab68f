#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondline::routing {

/// Response of an engine's GET /v1/load.
struct load_report {
    std::chrono::milliseconds age{0}; ///< of the figures, as the engine states
    int running = 0;
    int waiting = 0;
    double kv_used_tokens = 0;
    double kv_capacity_tokens = 0;
    bool is_leaving = false;
    std::vector<std::string> models; ///< loaded on the engine
    std::string role;                ///< as ordered, empty if not reported
};

enum class cache_event_kind { stored, evicted };

struct cache_event {
    std::uint64_t sequence = 0;
    cache_event_kind kind = cache_event_kind::stored;
    std::uint64_t block = 0;
};

/// Response of an engine's GET /v1/cache/events.
struct cache_events {
    std::uint64_t first_sequence = 0; ///< oldest one that the engine still has
    std::uint64_t next_sequence = 0;
    std::vector<cache_event> events;
};

/// What the holder measured of a finished request. Zero: not known.
struct finish_report {
    std::chrono::milliseconds first_token{0}; ///< after dispatch
    std::chrono::milliseconds duration{0};    ///< from dispatch to the end
    double prompt_tokens = 0;
    double output_tokens = 0;
};

enum class candidate_state {
    usable,
    probe, ///< eased off or slow, and due for a single request
    excluded,
    leaving,
    draining,     ///< to be unloaded: gets no further request
    other_model,  ///< has not loaded the request's model
    ejected,      ///< failed or silent, not yet due for a probe
    full,         ///< all of its slots are taken
    out_of_kv,    ///< the request could not be kept in memory until its end
    prefill_busy, ///< too much prefill ahead
};

std::string to_string(candidate_state state);

/// A replica that was considered.
struct candidate {
    std::string id;
    candidate_state state = candidate_state::usable;
    double score = 0;      ///< expected s, weighted, lower is better; if usable
    double hit_tokens = 0; ///< prompt tokens expected in its cache
};

struct choice {
    std::string id;
    std::string address;
    double score = 0;
    double hit_tokens = 0;
    double first_token = 0; ///< expected s to the first token
    std::string reason;     ///< for the log and for operators
    std::vector<candidate> candidates;
};

/// Dispatch slots of all usable replicas.
struct slot_counts {
    int total = 0;
    int free = 0;
    int free_headroom = 0; ///< of the free ones, on replicas that keep headroom
};

} // namespace almondline::routing
