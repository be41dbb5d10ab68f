#pragma once

#include "routing/types/advertised_rate.h"

#include <optional>

namespace almondline::routing {

/// Keeps the requests that are granted to a replica within the rate that it advertises.
struct rate_limiter {
    std::optional<advertised_rate> rate; ///< empty: not limited
    steady_time changed{};               ///< when the rate was last advertised or ended
    double requests = 0;                 ///< that may be granted now, including a fraction
    steady_time updated{};               ///< when requests was computed
};

} // namespace almondline::routing
