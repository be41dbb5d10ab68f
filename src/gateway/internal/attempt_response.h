#pragma once

#include <boost/asio/awaitable.hpp>

namespace almondline::gateway {

struct request_flow;
struct server_attempt;

/// Reads the response of a server after its header to the end. Forwards it if it is a stream.
boost::asio::awaitable<void> handle_response(request_flow& flow, server_attempt& attempt);

} // namespace almondline::gateway
