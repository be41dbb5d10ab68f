#pragma once

#include "gateway/internal/request_state.h"
#include "gateway/internal/server_attempt.h"
#include "gateway/types/gateway_context.h"

#include <boost/asio/awaitable.hpp>

namespace almondline::gateway {

/// Finds out whether the server of an attempt crashed when it started to answer the request.
boost::asio::awaitable<void> check_crash(gateway_context& context, const request_state& request,
                                         server_attempt& attempt);

} // namespace almondline::gateway
