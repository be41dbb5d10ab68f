#include "http/body_reservation.h"

#include <doctest/doctest.h>

using almondline::body_reservation;

// Guards against endless bodies from several servers at once, which exhausted the memory of the
// process.
TEST_CASE("reservations together stay within the budget and are released on destruction")
{
    constexpr std::uint64_t limit = 100;
    std::atomic<std::uint64_t> used{0};
    body_reservation first{used, limit, 0};
    CHECK(first.resize(60));
    {
        body_reservation second{used, limit, 0};
        CHECK(second.resize(40));
        CHECK_FALSE(second.resize(41));
        CHECK_FALSE(first.resize(61));
        CHECK(used == 100);
    }
    CHECK(first.resize(100));
    CHECK(first.resize(0));
    CHECK(used == 0);
}
