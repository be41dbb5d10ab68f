#pragma once

#include "common/clock.h"

#include <chrono>
#include <optional>

/// What an instance does in the time from a stop signal until the platform kills it.
namespace almondline::gateway {

struct stop_schedule {
    /// From the stop signal until the process is killed.
    std::chrono::milliseconds limit{30'000};
    std::optional<steady_time> started; ///< time of the stop signal; empty if there was none
};

bool is_stopping(const stop_schedule& schedule);

/// Returns whether the instance still takes requests. Callers keep using its address for a while.
bool accepts_requests(const stop_schedule& schedule, steady_time now);

/// Returns the time by which each request gets its final response, so that callers can read it
/// before the process ends; nothing if the instance is not stopping.
std::optional<steady_time> answer_by(const stop_schedule& schedule);

/// Returns whether the process has to end now, whatever is in progress.
bool must_exit(const stop_schedule& schedule, steady_time now);

} // namespace almondline::gateway
