#pragma once

#include "backend/event_splitter.h"
#include "common/clock.h"
#include "gateway/retry_policy.h"
#include "granting/types/credit.h"
#include "http/body_reservation.h"
#include "http/client.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace almondline::gateway {

/// Stage in the life of an attempt.
enum class attempt_stage {
    running, ///< a coroutine uses the connection
    ended,   ///< the credit is still held
    released ///< the credit was returned
};

/// How much of the request was sent to the server.
enum class transfer { none, begun, complete };

/// Whether the caller gets what the server of an attempt sends.
enum class delivery {
    none,      ///< nothing was delivered, or another attempt delivered later
    latest,    ///< the response, or the latest event of the stream, is this attempt's
    superseded ///< another attempt delivered while this one was running
};

/// One attempt to run a request on one backend server. Owns what belongs to that server alone: the
/// credit, the connection, and the response as far as it was received.
struct server_attempt {
    server_attempt(granting::credit granted, std::string service_name, std::uint64_t last_event_id,
                   std::atomic<std::uint64_t>& response_bytes, std::uint64_t max_response_bytes)
        : credit{std::move(granted)}, service{std::move(service_name)},
          response_memory{response_bytes, max_response_bytes, 0}, events{last_event_id}
    {
    }

    granting::credit credit;
    std::string service;
    std::optional<http_connection> connection; ///< may be closed, but not destroyed, from outside
    http_response response;                    ///< header, and the body unless it is a stream
    body_reservation response_memory;
    std::string received;              ///< the part of a stream that was read last
    backend::event_splitter events;    ///< skips those forwarded from other servers
    std::string unforwarded;           ///< complete events and comments
    std::optional<attempt_end> result; ///< empty while the attempt is in progress
    std::string cause;                 ///< of a failure
    attempt_stage stage = attempt_stage::running;
    transfer sent = transfer::none;
    delivery delivered = delivery::none;
    bool is_forwarding = false;      ///< a part of the response is being sent to the caller
    bool is_server_leaving = false;  ///< the server reported that it stops soon
    bool has_server_crashed = false; ///< as it started to answer
    steady_time dispatched{};
    steady_time first_event{};
    steady_time last_progress{};                ///< of the response
    std::chrono::milliseconds silence_limit{0}; ///< from last_progress on
};

inline bool has_credit(const server_attempt& attempt)
{
    return attempt.stage != attempt_stage::released;
}

inline bool is_running(const server_attempt& attempt)
{
    return attempt.stage == attempt_stage::running;
}

inline bool is_superseded(const server_attempt& attempt)
{
    return attempt.delivered == delivery::superseded;
}

inline bool has_delivered(const server_attempt& attempt)
{
    return attempt.delivered == delivery::latest;
}

/// Returns whether the server may have received a part of the request.
inline bool is_sent(const server_attempt& attempt)
{
    return attempt.sent != transfer::none;
}

} // namespace almondline::gateway
