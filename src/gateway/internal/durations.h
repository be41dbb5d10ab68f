#pragma once

#include "common/clock.h"

#include <chrono>
#include <cstdint>

namespace almondline::gateway {

/// Time between two moments, in whole milliseconds; negative if now is the earlier one.
inline std::chrono::milliseconds since(steady_time from, steady_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - from);
}

/// A multiple of a duration, in whole milliseconds.
inline std::chrono::milliseconds part_of(std::chrono::milliseconds whole, double part)
{
    return std::chrono::milliseconds{
        static_cast<std::int64_t>(static_cast<double>(whole.count()) * part)};
}

} // namespace almondline::gateway
