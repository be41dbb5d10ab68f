#pragma once

#include "gateway/internal/gateway_refusal.h"

#include <boost/asio/awaitable.hpp>

namespace almondline::gateway {

struct request_flow;

/// Sends the caller the final response, or ends its stream, and logs the end of the request.
boost::asio::awaitable<void> finish(request_flow& flow);

/// Sends the caller a refusal and logs the end of the request.
boost::asio::awaitable<void> refuse(request_flow& flow, gateway_refusal refused);

} // namespace almondline::gateway
