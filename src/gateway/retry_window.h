#pragma once

#include "common/clock.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

/// Limits the retries that an instance may send, as its share of a budget of all instances. Each
/// instance may send a fraction of its own requests plus an equal share of a fixed extra number, so
/// that the total stays within the budget without messages between instances. The current time is
/// passed in.
namespace almondline::gateway {

struct retry_settings {
    double ratio = 0.2; ///< retries per request
    std::chrono::milliseconds window{10'000};
    double extra = 0; ///< additional retries of all instances together in a window
    /// Share of the budget that is used. The rest covers retries that fall into another window at
    /// the server than here.
    double used_share = 0.8;
};

/// Numbers of requests and retries in one time slot.
struct retry_slot {
    steady_time start{};
    int requests = 0;
    int retries = 0;
};

struct retry_window {
    retry_settings settings;
    std::map<std::string, std::deque<retry_slot>> slots; ///< by service, oldest first
};

/// Counts a new request for a service. Retries are not counted here.
void note_request(retry_window& window, const std::string& service, steady_time now);

/// Returns whether this instance may send a retry now.
bool has_retry_left(retry_window& window, const std::string& service, std::size_t instances,
                    steady_time now);

/// Counts a retry, or returns false if it would exceed the share of this instance. instances is the
/// largest number of instances that may share the budget.
bool consume_retry(retry_window& window, const std::string& service, std::size_t instances,
                   steady_time now);

} // namespace almondline::gateway
