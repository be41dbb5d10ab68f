#pragma once

#include "http/client.h"
#include "store/internal/address_ring.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace almondline::store_internal {

/// Performs a read. Tries each address once, until one returns a complete response other than 5xx.
/// A response of 429 is final: trying another address would evade the service's rate limit. Calls
/// on_call before each attempt.
boost::asio::awaitable<http_result> call_read(address_ring& ring, const http_request& request,
                                              const http_timeouts& timeouts,
                                              const std::function<void()>& on_call);

/// Performs a write. Tries only the preferred address; after a failure the next call uses another
/// one.
boost::asio::awaitable<http_result> call_write(address_ring& ring, const http_request& request,
                                               const http_timeouts& timeouts);

/// Returns the cause of a failure: the message of the call, or the status of the response.
std::string describe_failure(const http_result& result);

} // namespace almondline::store_internal
