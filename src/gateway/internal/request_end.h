#pragma once

#include "gateway/internal/stop_cause.h"

#include <boost/asio/awaitable.hpp>
#include <string>

/// The end of a request whose response is not complete.
namespace almondline::gateway {

struct request_flow;

/// Returns when the request must get its final response even if it is not complete. That time may
/// change meanwhile.
boost::asio::awaitable<void> wait_for_end(request_flow& flow);

/// Must be called when the time of wait_for_end() may have become earlier.
void update_end(request_flow& flow);

/// Ends the attempts of a request, whose coroutines were cancelled.
void stop_request(request_flow& flow, stop_cause cause);

/// Ends a request because of an error in its processing.
void fail_request(request_flow& flow, const std::string& reason);

} // namespace almondline::gateway
