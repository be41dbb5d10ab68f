#pragma once

#include <boost/asio/awaitable.hpp>

/// Asks other servers while those that have the request are silent. A silent server may be sound
/// and answer after all, and another one may be full, fail or fall silent as well, so each keeps
/// the request until one of them delivers.
namespace almondline::gateway {

struct request_flow;
struct server_attempt;

/// Runs an attempt, and others beside it while all servers are silent. Returns when none is in
/// progress.
boost::asio::awaitable<void> run_hedged(request_flow& flow, server_attempt& first);

} // namespace almondline::gateway
