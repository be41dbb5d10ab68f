#pragma once

#include "common/clock.h"

#include <chrono>
#include <cstdint>

namespace almondline::gateway {

/// Returns the time from one point to another in whole milliseconds, negative if now is earlier.
inline std::chrono::milliseconds since(steady_time from, steady_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - from);
}

/// Returns a duration multiplied by a factor, in whole milliseconds.
inline std::chrono::milliseconds scaled(std::chrono::milliseconds duration, double factor)
{
    return std::chrono::milliseconds{
        static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor)};
}

} // namespace almondline::gateway
