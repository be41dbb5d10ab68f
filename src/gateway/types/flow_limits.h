#pragma once

#include <chrono>
#include <cstddef>

namespace almondline::gateway {

/// Times and sizes of one request.
struct flow_limits {
    std::chrono::milliseconds connect{400}; ///< to a backend server
    /// Unacknowledged bytes end a connection to a backend server after this time.
    std::chrono::milliseconds silence{1'500};
    /// A request that may be repeated goes to another server when nothing came for this many times
    /// the route's target latency, or its target gap after the first event.
    double latency_timeout_factor = 2.5;
    double gap_timeout_factor = 4;
    std::chrono::milliseconds min_response_timeout{300};
    /// Larger bodies are sent while the response is awaited: a server may answer before it has read
    /// them.
    std::size_t max_body_sent_first = 8 * 1024;
    std::size_t max_response_body = 8 * 1024 * 1024;
    /// Responses to other requests that are read over before a connection is given up.
    int max_foreign_responses = 4;
    /// Retry-After of refusals that the queue has no forecast for.
    std::chrono::milliseconds default_retry_after{300};
    /// Part of a target latency that is left for the server when a request is to be on time.
    double server_part_of_target = 0.4;
    /// Part of the callers' patience after which a stream that still waits is refused, so that the
    /// caller hears when to come back.
    double queue_part_of_timeout = 0.8;
    /// Until an ask is repeated while no instance owns the pool.
    std::chrono::milliseconds owner_wait{50};
    /// No attempt begins with less than this left of the request's time.
    std::chrono::milliseconds min_attempt_time{20};
};

} // namespace almondline::gateway
