#include "common/clock.h"

#include <ctime>

namespace almondline {

// CLOCK_MONOTONIC stops while the machine is suspended. With it, a process would use credits,
// leases and lists that expired during the suspend.
steady_time system_clock_source::now() const
{
    timespec time{};
    if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        return std::chrono::steady_clock::now();
    }
    return steady_time{std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec}};
}

system_time system_clock_source::wall() const
{
    return std::chrono::system_clock::now();
}

} // namespace almondline
