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
    int retries(std::size_t instances, int tries = 1000)
    {
        int taken = 0;
        for (int i = 0; i < tries; ++i) {
            taken += consume_retry(window, "chat", instances, clock.now()) ? 1 : 0;
        }
        return taken;
    }

    manual_clock clock;
    retry_window window;
};

} // namespace

// Instances exchange no messages about retries, so the total stays within the budget only if each
// one stays within its share.
TEST_CASE("an instance may retry a share of its own requests plus its share of the extra retries")
{
    fixture f;
    f.request(100);
    CHECK(f.retries(6) == 30);
}

TEST_CASE("the retries of all instances together stay within the common budget")
{
    constexpr std::size_t instances = 7;
    int total = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        fixture f;
        f.request(50);
        total += f.retries(instances);
    }
    CHECK(total <= 0.2 * 50 * instances + 60);
}

TEST_CASE("retries count against the budget until the window has passed")
{
    fixture f;
    CHECK(f.retries(1) == 60);
    f.clock.advance(9s);
    CHECK(f.retries(1) == 0);
    f.clock.advance(2s);
    CHECK(f.retries(1) == 60);
}

TEST_CASE("each service has its own retry budget")
{
    fixture f;
    CHECK(f.retries(1) == 60);
    CHECK(consume_retry(f.window, "print", 1, f.clock.now()));
}
