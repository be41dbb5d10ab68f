#include "gateway/stop_schedule.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::gateway;
using namespace std::chrono_literals;

// Requests in progress were cut without an answer when the process ended.
TEST_CASE("a stop leaves time to take requests, then to answer all, then to end before the limit")
{
    constexpr steady_time start{1h};
    for (const auto limit : {2s, 8s, 30s}) {
        CAPTURE(limit.count());
        stop_schedule schedule{limit, std::nullopt};
        CHECK(!is_stopping(schedule));
        CHECK(accepts_requests(schedule, start + 100h));
        CHECK(!answer_by(schedule));
        CHECK(!must_exit(schedule, start + 100h));

        schedule.started = start;
        CHECK(is_stopping(schedule));
        CHECK(accepts_requests(schedule, start));
        REQUIRE(answer_by(schedule));
        CHECK(!accepts_requests(schedule, *answer_by(schedule)));
        CHECK(!must_exit(schedule, *answer_by(schedule) + limit / 20));
        CHECK(must_exit(schedule, start + limit - 50ms));
    }
}
