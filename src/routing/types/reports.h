#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondline::routing {

/// Response of an engine's GET /v1/load.
struct load_report {
    std::chrono::milliseconds age{0}; ///< of the figures, as reported by the engine
    int running = 0;
    int waiting = 0;
    double kv_used_tokens = 0;
    double kv_capacity_tokens = 0;
    bool is_leaving = false;
    std::vector<std::string> models; ///< loaded on the engine
    std::string role;                ///< set by a placement order, empty if not reported
};

enum class cache_event_kind { stored, evicted };

struct cache_event {
    std::uint64_t sequence = 0;
    cache_event_kind kind = cache_event_kind::stored;
    std::uint64_t block = 0;
};

/// Response of an engine's GET /v1/cache/events.
struct cache_events {
    std::uint64_t first_sequence = 0; ///< of the oldest event that the engine still has
    std::uint64_t next_sequence = 0;
    std::vector<cache_event> events;
};

/// Measurements of a finished request by its holder. Zero: unknown.
struct finish_report {
    std::chrono::milliseconds first_token{0}; ///< after dispatch
    std::chrono::milliseconds duration{0};    ///< from dispatch to the end
    double prompt_tokens = 0;
    double output_tokens = 0;
};

enum class candidate_state {
    usable,
    probe, ///< ejected, unresponsive or slow, and due for a probe
    excluded,
    leaving,
    draining,     ///< about to be unloaded: gets no further requests
    other_model,  ///< has not loaded the request's model
    ejected,      ///< failed or unresponsive, and not yet due for a probe
    full,         ///< all of its slots are in use
    out_of_kv,    ///< has too little free KV cache for the whole request
    prefill_busy, ///< too much prefill ahead of the request
    rate_limited, ///< would get more requests per second than it accepts
};

std::string to_string(candidate_state state);

/// A replica that was considered for a request.
struct candidate {
    std::string id;
    candidate_state state = candidate_state::usable;
    double score = 0;      ///< weighted expected seconds, lower is better; only if usable or probe
    double hit_tokens = 0; ///< prompt tokens expected in its cache
};

struct choice {
    std::string id;
    std::string address;
    double score = 0;
    double hit_tokens = 0;
    double first_token = 0; ///< expected seconds to the first token
    std::string reason;     ///< of the choice, for the log and for operators
    std::vector<candidate> candidates;
};

/// Dispatch slots of all usable replicas.
struct slot_counts {
    int total = 0;
    int free = 0;
    int free_headroom = 0; ///< free slots on replicas that keep headroom; included in free
    // Of the replicas that advertise a request rate:
    int rate_limited_total = 0; ///< their part of total: what they run and what they may start now
    int rate_limited_slots = 0; ///< their slots, whatever their rates
    double rate_limit = 0;      ///< requests per second that they accept
};

} // namespace almondline::routing
