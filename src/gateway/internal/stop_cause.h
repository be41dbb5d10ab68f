#pragma once

#include <string_view>

namespace almondline::gateway {

/// Why a request ended before its response was complete.
enum class stop_cause { none, caller_left, time_up, instance_stops };

/// Returns the text for the log and for callers.
std::string_view describe(stop_cause cause);

} // namespace almondline::gateway
