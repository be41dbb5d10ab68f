#include "common/clock.h"
#include "scheduling/queue.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace almondline;
using namespace almondline::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr slot_view no_slot_free{10, 0, 0};
constexpr slot_view one_free{10, 1, 0};

queue_config make_config(double yield_share)
{
    queue_config config;
    config.tiers = {{"high/0", 0, 0}, {"high/1", 0, 0}, {"low/0", 0, 1}};
    config.yield_share = yield_share;
    return config;
}

struct fixture {
    explicit fixture(double yield_share = 0) : queue{make_queue(make_config(yield_share))} {}

    void add(const std::string& id, int tier, std::chrono::milliseconds objective)
    {
        credit_request request;
        request.request_id = id;
        request.account = "a";
        request.tier = tier;
        request.arrived = clock.now();
        request.deadline = clock.now() + 1h;
        request.dispatch_by = clock.now() + objective;
        REQUIRE(enqueue(queue, request, no_slot_free, clock.now()).status ==
                enqueue_status::accepted);
    }
    std::string pick_one()
    {
        const auto next = pick(queue, one_free, clock.now());
        return next ? next->request_id : std::string{};
    }

    manual_clock clock;
    queue_state queue;
};

} // namespace

TEST_CASE("requests that are on time are picked in order of arrival")
{
    fixture f;
    f.add("1", 0, 100ms);
    f.add("2", 0, 100ms);
    CHECK(f.pick_one() == "1");
    CHECK(f.pick_one() == "2");
}

// Under overload, picking the oldest request first would make every served request late.
TEST_CASE("once the oldest request is late, the newest request on time is picked first")
{
    fixture f;
    f.add("old-1", 0, 100ms);
    f.add("old-2", 0, 100ms);
    f.clock.advance(150ms);
    f.add("new-1", 0, 100ms);
    f.add("new-2", 0, 100ms);
    CHECK(f.pick_one() == "new-2");
    CHECK(f.pick_one() == "new-1");
    CHECK(f.pick_one() == "old-1");
    CHECK(f.pick_one() == "old-2");
}

// Guards against the least urgent work of one group of accounts delaying the most urgent work of
// the next group for seconds.
TEST_CASE("a group of tiers gets its share of the picks while a more urgent group has work")
{
    fixture f{0.25};
    for (int i = 0; i < 20; ++i) {
        f.add("high-" + std::to_string(i), 1, 1h);
        f.add("low-" + std::to_string(i), 2, 1h);
    }
    int low = 0;
    for (int i = 0; i < 16; ++i) {
        low += f.pick_one().starts_with("low") ? 1 : 0;
    }
    CHECK(low == 4);
}

TEST_CASE("a group that is alone gets all picks, and idle groups accrue none in advance")
{
    fixture f{0.25};
    for (int i = 0; i < 8; ++i) {
        f.add("high-" + std::to_string(i), 0, 1h);
    }
    for (int i = 0; i < 7; ++i) {
        CHECK(f.pick_one() == "high-" + std::to_string(i));
    }
    f.add("low", 2, 1h);
    CHECK(f.pick_one() == "high-7");
}
