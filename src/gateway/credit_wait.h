#pragma once

#include "granting/credit_client.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace almondline::gateway {

/// Waits for the decision on an ask. If the coroutine is cancelled, the ask is withdrawn, and a
/// credit that was already given goes back unused. Runs on the asker's thread.
boost::asio::awaitable<granting::credit_result>
wait_for_credit(granting::credit_client& credit_client, std::string pool,
                scheduling::credit_request what);

} // namespace almondline::gateway
