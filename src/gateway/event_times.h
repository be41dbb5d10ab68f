#pragma once

#include "common/clock.h"

#include <chrono>
#include <optional>

/// When the events of a stream were forwarded to its caller. The current time is passed in.
namespace almondline::gateway {

struct event_times {
    std::optional<steady_time> first;
    std::optional<steady_time> last;
    /// Longest time between two events; empty until there were two.
    std::optional<std::chrono::milliseconds> longest_gap;
};

/// Notes that one or more events are forwarded.
void note_event(event_times& times, steady_time now);

} // namespace almondline::gateway
