#pragma once

#include "common/clock.h"

#include <cstdint>

namespace almondline {

/// Times of the latest answered and failed calls to a service. Epoch: there was no such call.
struct store_health {
    steady_time last_answer{};
    steady_time last_failure{}; ///< no response, or an internal error of the service
    std::uint64_t era = 0;      ///< latest that the service named, see key_value_store::era()
};

} // namespace almondline
