#include "gateway/retry_window.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::gateway;
using namespace std::chrono_literals;

namespace {

struct fixture {
    fixture() { window.settings = {0.2, 10s, 60, 1.0}; }

    void request(int count)
    {
        for (int i = 0; i < count; ++i) {
            note_request(window, "chat", clock.now());
        }
    }
    int repeats(std::size_t instances, int tries = 1000)
    {
        int taken = 0;
        for (int i = 0; i < tries; ++i) {
            taken += take_repeat(window, "chat", instances, clock.now()) ? 1 : 0;
        }
        return taken;
    }

    manual_clock clock;
    retry_window window;
};

} // namespace

// Instances don't talk about repeats: each must stay within its part for the sum to hold.
TEST_CASE("an instance repeats a share of its own requests and its part of the extra")
{
    fixture f;
    f.request(100);
    CHECK(f.repeats(6) == 30);
}

TEST_CASE("the parts of all instances together stay within the common budget")
{
    constexpr std::size_t instances = 7;
    int total = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        fixture f;
        f.request(50);
        total += f.repeats(instances);
    }
    CHECK(total <= 0.2 * 50 * instances + 60);
}

TEST_CASE("repeats of an earlier window are forgotten, those within it are not")
{
    fixture f;
    CHECK(f.repeats(1) == 60);
    f.clock.advance(9s);
    CHECK(f.repeats(1) == 0);
    f.clock.advance(2s);
    CHECK(f.repeats(1) == 60);
}

TEST_CASE("services have budgets of their own")
{
    fixture f;
    CHECK(f.repeats(1) == 60);
    CHECK(take_repeat(f.window, "print", 1, f.clock.now()));
}
