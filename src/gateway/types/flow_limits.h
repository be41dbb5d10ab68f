#pragma once

#include <chrono>
#include <cstddef>

namespace almondline::gateway {

/// Timeouts and size limits of a request.
struct flow_limits {
    std::chrono::milliseconds connect_timeout{400}; ///< to a backend server
    /// A connection to a backend server is closed when sent bytes stay unacknowledged for this
    /// long.
    std::chrono::milliseconds unacknowledged_timeout{1'500};
    /// Reads and writes on a connection to a backend server time out this long after the request's
    /// deadline.
    std::chrono::milliseconds io_timeout_margin{1'000};
    /// For the connection that finds out whether a server that broke off a response still runs.
    std::chrono::milliseconds crash_check_timeout{200};
    /// A response that broke off later than this after its first event did not crash its server by
    /// starting.
    std::chrono::milliseconds crash_after_first_event{200};
    /// A request that may be retried moves to another server that is free when this multiple of
    /// the route's target latency, or of its target gap after the first event, passes without a
    /// response or an event.
    double latency_timeout_factor = 2.5;
    double gap_timeout_factor = 4;
    std::chrono::milliseconds min_response_timeout{300};
    /// Larger bodies are sent while the response is read, because a server may answer before it has
    /// read the whole body.
    std::size_t max_body_sent_before_reading = 8 * 1024;
    std::size_t max_response_body = 8 * 1024 * 1024;
    /// Part of a response that needs no reservation in the memory for response bodies, so that
    /// usual responses and events are delivered while large ones use it up.
    std::size_t unreserved_response_bytes = 8 * 1024;
    /// Share of the memory for response bodies up to which an attempt beside others may take more,
    /// so that it never takes the memory that the only response to another request needs.
    double hedge_memory_share = 0.5;
    /// Responses to other requests that are skipped before the connection is closed.
    int max_mismatched_responses = 4;
    /// Retry-After of refusals for which the queue has no forecast.
    std::chrono::milliseconds default_retry_after{300};
    /// Share of the target latency that is reserved for the server when the time to dispatch by is
    /// computed.
    double server_share_of_target = 0.4;
    /// Share of the callers' timeout after which a stream that still waits for a credit is refused,
    /// so that the caller receives a Retry-After before it times out.
    double queue_share_of_timeout = 0.8;
    /// Delay before a credit is requested again while no instance owns the pool.
    std::chrono::milliseconds owner_retry_delay{50};
    /// Interval of checks whether all servers of a request are silent while one of them may not
    /// count as silent, because it is being connected to or the caller reads slowly.
    std::chrono::milliseconds silence_check_interval{10};
    /// Delay before another server is looked for again while none can take over from a silent one.
    /// Doubled each time up to the maximum.
    std::chrono::milliseconds replacement_retry_delay{100};
    std::chrono::milliseconds max_replacement_retry_delay{800};
    /// No attempt starts with less time than this left until the request's deadline.
    std::chrono::milliseconds min_attempt_time{20};
};

} // namespace almondline::gateway
