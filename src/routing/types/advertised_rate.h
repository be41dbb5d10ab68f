#pragma once

#include "common/clock.h"

namespace almondline::routing {

/// Requests per second that a backend server accepts from all instances together, as it reports in
/// the header of its responses.
struct advertised_rate {
    double per_second = 0;
    steady_time advertised_at{}; ///< arrival of the latest response that reports it
};

} // namespace almondline::routing
