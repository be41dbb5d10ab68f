#pragma once

#include "granting/types/credit.h"

#include <boost/asio/awaitable.hpp>

namespace almondline::gateway {

struct request_flow;
struct server_attempt;

/// Adds an attempt with a confirmed credit to the round.
server_attempt& add_attempt(request_flow& flow, granting::credit granted);

/// Runs an attempt to its end and returns its credit. If the work is cancelled, stop_request() ends
/// the attempt.
boost::asio::awaitable<void> run_attempt(request_flow& flow, server_attempt& attempt);

/// Returns the credit of an attempt that has a result. Logs its end if it was not the only one.
void end_attempt(request_flow& flow, server_attempt& attempt);

} // namespace almondline::gateway
