#include "gateway/event_times.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::gateway;
using namespace std::chrono_literals;

// A pause at the end of a stream hid a longer one before it, and one event looked like a pause.
TEST_CASE("the longest time between two events is kept")
{
    constexpr steady_time start{1h};
    event_times times;
    note_event(times, start);
    CHECK(times.first == start);
    CHECK(!times.longest_gap);
    note_event(times, start + 300ms);
    note_event(times, start + 400ms);
    CHECK(times.first == start);
    CHECK(times.longest_gap == 300ms);
}
