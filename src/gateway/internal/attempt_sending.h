#pragma once

#include <boost/asio/awaitable.hpp>

namespace almondline::gateway {

struct request_flow;
struct server_attempt;

/// Sends the request to the server of an attempt and reads the header of its response. Returns
/// false if the attempt has ended.
boost::asio::awaitable<bool> send_request(request_flow& flow, server_attempt& attempt);

} // namespace almondline::gateway
