#pragma once

#include "gateway/internal/request_attempts.h"
#include "gateway/types/gateway_context.h"

#include <boost/asio/awaitable.hpp>

namespace almondline::gateway {

/// Takes a pooled connection to the server of an attempt, or opens one. Returns false if the
/// attempt has ended.
boost::asio::awaitable<bool> open_connection(gateway_context& context, request_attempts& attempts,
                                             server_attempt& attempt);

/// Returns the connection to the pool after a complete response.
void keep_connection(gateway_context& context, server_attempt& attempt);

} // namespace almondline::gateway
