#pragma once

#include "routing/types/advertised_rate.h"
#include "routing/types/rate_limiter.h"

#include <optional>

/// Limits on the requests per second that replicas advertise in their responses. Pure: the time is
/// passed in. `share` is the part of each rate that this granter may use, 0 to 1.
namespace almondline::routing {

/// Applies the rate that a response reports, or empty if it reports none, to a request that was
/// sent at the given time. A response without a rate ends the rate only if its request was sent
/// after the rate was advertised, because an earlier response may arrive later. Returns true if the
/// rate has changed.
bool update_rate(std::optional<advertised_rate>& rate, std::optional<double> per_second,
                 steady_time sent, steady_time now);

/// Does the same for a limiter. It starts without any requests to grant, because a previous granter
/// may just have used them.
bool update_limiter(rate_limiter& limiter, std::optional<double> per_second, steady_time sent,
                    double share, steady_time now);

/// Applies a rate that another instance remembers, unless the limiter knows something later.
/// Returns true if the rate has changed.
bool restore_limiter(rate_limiter& limiter, const advertised_rate& rate, double share,
                     steady_time now);

/// Returns the requests per second that may be granted. Precondition: the limiter has a rate.
double granted_rate(const rate_limiter& limiter, double share);

/// Returns the whole requests that may be granted now. Precondition: the limiter has a rate.
int available_requests(const rate_limiter& limiter, double share, steady_time now);

/// Returns true if a request may be granted now.
bool allows_request(const rate_limiter& limiter, double share, steady_time now);

/// Counts a granted request. Returns false if the limiter has no rate.
bool take_request(rate_limiter& limiter, double share, steady_time now);

/// Returns a request that was not sent.
void return_request(rate_limiter& limiter, double share, steady_time now);

} // namespace almondline::routing
