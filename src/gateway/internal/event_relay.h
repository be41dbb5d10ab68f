#pragma once

#include <boost/asio/awaitable.hpp>

namespace almondline::gateway {

struct request_flow;
struct server_attempt;

/// Forwards the events of a server's stream to the caller until the attempt ends.
boost::asio::awaitable<void> relay_events(request_flow& flow, server_attempt& attempt);

} // namespace almondline::gateway
