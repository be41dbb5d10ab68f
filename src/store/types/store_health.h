#pragma once

#include "common/clock.h"

namespace almondline {

/// What the latest calls tell of a service. Epoch: there was no such call.
struct store_health {
    steady_time last_answer{};
    steady_time last_failure{}; ///< no answer, or an error of the service itself
};

} // namespace almondline
