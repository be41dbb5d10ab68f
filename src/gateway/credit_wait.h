#pragma once

#include "granting/credit_client.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace almondline::gateway {

/// Requests a credit and waits for the decision. If the coroutine is cancelled, cancels the
/// request; a credit that was already granted is returned unused. Runs on the thread of the credit
/// client.
boost::asio::awaitable<granting::credit_result>
wait_for_credit(granting::credit_client& credit_client, std::string pool,
                scheduling::credit_request request);

} // namespace almondline::gateway
