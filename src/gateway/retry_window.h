#pragma once

#include "common/clock.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

/// Repeated requests that an instance may send, as its part of a budget that all instances share.
/// Each instance stays within a share of its own requests and an equal part of the fixed extra, so
/// the sum needs no messages. Pure: the time is passed in.
namespace almondline::gateway {

struct retry_settings {
    double ratio = 0.2; ///< repeats per request
    std::chrono::milliseconds window{10'000};
    double extra = 0; ///< repeats of all instances together in a window, beyond the ratio
    /// Part of the budget that is used. Covers arrivals that fall into another window at the server
    /// than here.
    double used_part = 0.8;
};

/// Requests and repeats in one slot of time.
struct retry_slot {
    steady_time begin{};
    int requests = 0;
    int repeats = 0;
};

struct retry_window {
    retry_settings settings;
    std::map<std::string, std::deque<retry_slot>> slots; ///< by service, oldest first
};

/// Counts the first arrival of a request for a service.
void note_request(retry_window& window, const std::string& service, steady_time now);

/// Counts a repeat, or returns false if it would exceed the part of this instance. instances: the
/// largest number that may share the budget.
bool take_repeat(retry_window& window, const std::string& service, std::size_t instances,
                 steady_time now);

} // namespace almondline::gateway
