#pragma once

#include "common/clock.h"

#include <chrono>

namespace almondline::gateway {

/// Time between two moments, in whole milliseconds; negative if now is the earlier one.
inline std::chrono::milliseconds since(steady_time from, steady_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - from);
}

} // namespace almondline::gateway
