#pragma once

#include "routing/types/named_rate.h"

#include <optional>

/// Request rates that backend servers report. Pure: the time is passed in.
namespace almondline::routing {

/// Applies the rate that a response reports, or empty if it reports none, to a request that was
/// sent at the given time. A response without a rate ends the rate only if its request was sent
/// after the rate was named, because an earlier response may arrive later. Returns true if the rate
/// has changed.
bool update_rate(std::optional<named_rate>& rate, std::optional<double> per_second,
                 steady_time sent, steady_time now);

} // namespace almondline::routing
