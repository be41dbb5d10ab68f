#pragma once

#include "entry/types/caller_request.h"

#include <boost/leaf/result.hpp>

namespace almondline::entry {

/// Each checks a request of an authenticated client account. Errors carry an api_error.
boost::leaf::result<caller_request> parse_completion(const http_request& request, const manifest& m,
                                                     const account_policy& account);

/// A call "/services/{service}/{path}".
boost::leaf::result<caller_request>
parse_service_call(const http_request& request, const manifest& m, const account_policy& account);

/// Longest time limit that a caller may ask for.
constexpr std::chrono::milliseconds max_time_limit{10 * 60 * 1000};

} // namespace almondline::entry
