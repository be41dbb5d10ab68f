#pragma once

#include "backend/event_stream.h"
#include "backend/types/dispatch.h"

#include <boost/asio/awaitable.hpp>

namespace almondline::backend {

/// Receives the events of a stream in order and exactly once.
class event_sink {
public:
    virtual ~event_sink() = default;
    /// Handles an event. Returns false to stop the dispatch.
    virtual boost::asio::awaitable<bool> on_event(const stream_event& event) = 0;
    /// Called when the engine sent data without a complete event. Returns false to stop the
    /// dispatch.
    virtual boost::asio::awaitable<bool> on_heartbeat() = 0;

protected:
    event_sink() = default;
    event_sink(const event_sink&) = default;
    event_sink& operator=(const event_sink&) = default;
};

/// Sends a streaming chat completion request to an engine and reads its events to the end. If the
/// connection is lost or times out, resumes the stream by its position on a new connection; the
/// request itself is sent only once.
boost::asio::awaitable<dispatch_outcome>
dispatch_completion(target engine, std::string request_id, http_request request,
                    dispatch_limits limits, const clock_source& clock, event_sink& sink);

/// Sends a request to a plain service once. A lost or timed-out connection ends the dispatch,
/// because a plain service can't resume a response. timeout limits the wait for the header and for
/// each part of the body.
boost::asio::awaitable<dispatch_outcome> dispatch_call(target server, http_request request,
                                                       dispatch_limits limits,
                                                       std::chrono::milliseconds timeout);

/// Asks an engine to cancel a stream. Errors are ignored.
boost::asio::awaitable<void> cancel_stream(target engine, std::string request_id,
                                           dispatch_limits limits);

} // namespace almondline::backend
