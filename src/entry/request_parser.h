#pragma once

#include "entry/types/caller_request.h"

#include <boost/leaf/result.hpp>

namespace almondline::entry {

/// Parses and validates a chat completion request of an authenticated client account. Errors carry
/// an api_error.
boost::leaf::result<caller_request> parse_completion(const http_request& request, const manifest& m,
                                                     const account_policy& account);

/// Parses and validates a call of a plain service, "/services/{service}/{path}". Errors carry an
/// api_error.
boost::leaf::result<caller_request>
parse_service_call(const http_request& request, const manifest& m, const account_policy& account);

/// Upper bound of the time limit that a caller can request; larger values are reduced to it.
constexpr std::chrono::milliseconds max_time_limit{10 * 60 * 1000};

} // namespace almondline::entry
