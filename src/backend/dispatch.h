#pragma once

#include "backend/event_stream.h"
#include "backend/types/dispatch.h"

#include <boost/asio/awaitable.hpp>

namespace almondline::backend {

/// Receives the events of a stream, in order, each once.
class event_sink {
public:
    virtual ~event_sink() = default;
    /// Returns false to stop the dispatch.
    virtual boost::asio::awaitable<bool> on_event(const stream_event& event) = 0;
    /// The engine is alive but has no event. Returns false to stop the dispatch.
    virtual boost::asio::awaitable<bool> on_heartbeat() = 0;

protected:
    event_sink() = default;
    event_sink(const event_sink&) = default;
    event_sink& operator=(const event_sink&) = default;
};

/// Sends a streaming chat completion to an engine, once, and reads its events to the end. A cut or
/// silent connection is replaced and the stream resumed by position; the request itself is never
/// written a second time.
boost::asio::awaitable<dispatch_outcome>
dispatch_completion(target engine, std::string request_id, http_request request,
                    dispatch_limits limits, const clock_source& clock, event_sink& sink);

/// Sends one call to a plain service, once. A cut or silent connection ends it, because a plain
/// service can't resume.
boost::asio::awaitable<dispatch_outcome> dispatch_call(target server, http_request request,
                                                       dispatch_limits limits,
                                                       std::chrono::milliseconds timeout);

/// Asks an engine to end a stream. Best effort.
boost::asio::awaitable<void> cancel_stream(target engine, std::string request_id,
                                           dispatch_limits limits);

} // namespace almondline::backend
