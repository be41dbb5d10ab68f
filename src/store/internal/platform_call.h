#pragma once

#include "http/client.h"
#include "store/internal/address_ring.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace almondline::store_internal {

/// Makes a read. Tries each address once, until one gives a complete answer other than 5xx. An
/// answer of 429 is final: asking another address would evade the service's rate limit.
/// on_call is called before each attempt.
boost::asio::awaitable<http_result> call_read(address_ring& ring, const http_request& request,
                                              const http_timeouts& timeouts,
                                              const std::function<void()>& on_call);

/// Makes one attempt at the preferred address. After a failure the next call uses another one.
boost::asio::awaitable<http_result> call_write(address_ring& ring, const http_request& request,
                                               const http_timeouts& timeouts);

/// Cause of a failure: the message of the call, or the status of the answer.
std::string describe_failure(const http_result& result);

} // namespace almondline::store_internal
