#include "common/clock.h"

#include <doctest/doctest.h>

#include <ctime>

using namespace almondline;

namespace {

std::chrono::nanoseconds time_since_boot()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

} // namespace

// Guards against a clock that stops during a suspend: credits and leases would not expire in time.
TEST_CASE("the clock includes the time during which the machine is suspended")
{
    const system_clock_source clock;
    const auto before = time_since_boot();
    const auto now = clock.now().time_since_epoch();
    CHECK(before <= now);
    CHECK(now <= time_since_boot());
}
