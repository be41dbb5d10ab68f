#include "scheduling/tests/queue_fixture.h"

#include <doctest/doctest.h>
#include <map>

using namespace almondline;
using namespace almondline::scheduling;

namespace {

std::string pick_id(queue_state& queue, slot_view slots, steady_time now)
{
    const auto next = pick(queue, slots, now);
    return next ? next->request_id : "";
}

} // namespace

TEST_CASE("a more urgent tier is picked first, whatever the order of arrival")
{
    manual_clock clock;
    queue_config config = three_tiers(10);
    config.tiers[1].floor = config.tiers[2].floor = 0;
    queue_state queue = make_queue(config);
    enqueue(queue, make_credit_request("c", 2, "a"), {1, 0}, clock.now());
    enqueue(queue, make_credit_request("b", 1, "a"), {1, 0}, clock.now());
    enqueue(queue, make_credit_request("a", 0, "a"), {1, 0}, clock.now());
    CHECK(pick_id(queue, {10, 3}, clock.now()) == "a");
    CHECK(pick_id(queue, {10, 2}, clock.now()) == "b");
    CHECK(pick_id(queue, {10, 1}, clock.now()) == "c");
}

TEST_CASE("urgent work cannot use slots reserved for a tier that has demand")
{
    manual_clock clock;
    queue_state queue = make_queue(three_tiers(100));
    enqueue(queue, make_credit_request("n0", 1, "a"), {10, 10}, clock.now());
    CHECK(pick_id(queue, {10, 10}, clock.now()) == "n0");
    for (int i = 0; i < 20; ++i) {
        enqueue(queue, make_credit_request("u" + std::to_string(i), 0, "a"), {10, 9}, clock.now());
    }
    int urgent = 0;
    while (pick(queue, {10, 9 - urgent}, clock.now())) {
        urgent += 1;
    }
    CHECK(urgent == 8); // 2 of 10 slots are reserved for "normal", 1 of them is in use
    enqueue(queue, make_credit_request("n1", 1, "a"), {10, 1}, clock.now());
    CHECK(pick_id(queue, {10, 1}, clock.now()) == "n1");
    finish(queue, "n1", 1, clock.now());
    clock.advance(5001ms);
    // A floor expires after 5 s without demand, so that idle slots are not wasted.
    CHECK(pick_id(queue, {10, 1}, clock.now()).substr(0, 1) == "u");
}

TEST_CASE("a kind's floor applies across tiers, and small pools keep a slot for other work")
{
    manual_clock clock;
    queue_state queue = make_queue(three_tiers(100));
    enqueue(queue, make_credit_request("u", 0, "a"), {10, 0}, clock.now());
    enqueue(queue, make_credit_request("k", 2, "a", 1, "check"), {10, 0}, clock.now());
    CHECK(pick_id(queue, {10, 1}, clock.now()) == "k");
    queue_config config = three_tiers(100);
    config.tiers[2].floor = 1;
    queue_state small = make_queue(config);
    enqueue(small, make_credit_request("b", 2, "a"), {1, 0}, clock.now());
    enqueue(small, make_credit_request("u", 0, "a"), {1, 0}, clock.now());
    CHECK(pick_id(small, {1, 1}, clock.now()) == "u");
}

TEST_CASE("accounts get actual cost in proportion to their weights, not requests or estimated cost")
{
    manual_clock clock;
    queue_config config = three_tiers(10'000);
    config.accounts["heavy"] = {"heavy", 2, 0, {}, {}};
    queue_state queue = make_queue(config);
    for (int i = 0; i < 2000; ++i) {
        const std::string n = std::to_string(i);
        enqueue(queue, make_credit_request("h" + n, 0, "heavy", 10), {1, 0}, clock.now());
        enqueue(queue, make_credit_request("l" + n, 0, "light", 10), {1, 0}, clock.now());
    }
    std::map<std::string, double> used;
    for (int i = 0; i < 1500; ++i) {
        const auto next = pick(queue, {1, 1}, clock.now());
        REQUIRE(next);
        const double actual = next->account == "heavy" ? 40 : 10; // four times the estimate
        used[next->account] += actual;
        finish(queue, next->request_id, actual, clock.now());
    }
    CHECK(used["heavy"] / used["light"] == doctest::Approx(2).epsilon(0.02));
}

TEST_CASE("an account that was idle neither waits behind a backlog nor gets a larger share later")
{
    manual_clock clock;
    queue_state queue = make_queue(three_tiers(10'000));
    for (int i = 0; i < 1000; ++i) {
        enqueue(queue, make_credit_request("l" + std::to_string(i), 0, "large"), {1, 0},
                clock.now());
    }
    for (int i = 0; i < 500; ++i) {
        pick(queue, {1, 1}, clock.now());
    }
    for (int i = 0; i < 100; ++i) {
        enqueue(queue, make_credit_request("s" + std::to_string(i), 0, "small"), {1, 0},
                clock.now());
    }
    int small = 0;
    for (int i = 0; i < 20; ++i) {
        small += pick_id(queue, {1, 1}, clock.now()).starts_with("s") ? 1 : 0;
        if (i == 1) {
            CHECK(small >= 1);
        }
    }
    CHECK(small >= 9);
    CHECK(small <= 11);
}

TEST_CASE(
    "requests of an account at its limit wait or are refused, and do not block other accounts")
{
    manual_clock clock;
    queue_config config = three_tiers(100);
    config.accounts["a"] = {"a", 1, 2, {}, {}};
    queue_state queue = make_queue(config);
    enqueue_result last;
    for (int i = 0; i < 7; ++i) {
        last = enqueue(queue, make_credit_request("a" + std::to_string(i), 0, "a"), {10, 5},
                       clock.now());
        pick(queue, {10, 5}, clock.now());
    }
    CHECK(last.status == enqueue_status::refused); // 2 in progress, 4 waiting
    CHECK(last.reason.code == code_account_limit);
    CHECK(last.reason.retry_after > 0ms);
    CHECK(last.shed.empty());
    enqueue(queue, make_credit_request("b", 2, "b"), {10, 5}, clock.now());
    CHECK(pick_id(queue, {10, 5}, clock.now()) == "b");
    finish(queue, "a0", 1, clock.now());
    CHECK(pick_id(queue, {10, 5}, clock.now()) == "a2");
    CHECK(pick_id(queue, {10, 5}, clock.now()).empty());
}

TEST_CASE("put_back preserves position and share, and finish ignores unknown ids")
{
    manual_clock clock;
    queue_state queue = make_queue(three_tiers(100));
    for (const char* id : {"a0", "a1"}) {
        enqueue(queue, make_credit_request(id, 0, "a", 5), {1, 0}, clock.now());
    }
    enqueue(queue, make_credit_request("b0", 0, "b", 5), {1, 0}, clock.now());
    for (int i = 0; i < 3; ++i) {
        const auto next = pick(queue, {1, 1}, clock.now());
        REQUIRE(next);
        CHECK(next->request_id == "a0");
        put_back(queue, *next, clock.now());
    }
    finish(queue, "unknown", 100, clock.now());
    CHECK(pick_id(queue, {1, 1}, clock.now()) == "a0");
    CHECK(pick_id(queue, {1, 1}, clock.now()) == "b0");
    CHECK(pick_id(queue, {1, 1}, clock.now()) == "a1");
    CHECK(status(queue).in_progress == 3);
}

TEST_CASE("restored requests count towards account limits, and resent requests are recognized")
{
    manual_clock clock;
    queue_config config = three_tiers(100);
    config.accounts["a"] = {"a", 1, 1, {}, {}};
    queue_state queue = make_queue(config);
    enqueue(queue, make_credit_request("r", 0, "a"), {10, 0}, clock.now());
    CHECK(enqueue(queue, make_credit_request("r", 0, "a"), {10, 0}, clock.now()).status ==
          enqueue_status::already_waiting);
    restore(queue, {"r", "a", "draft", 0, 5}, clock.now());
    CHECK_FALSE(is_waiting(queue, "r"));
    CHECK(enqueue(queue, make_credit_request("r", 0, "a"), {10, 5}, clock.now()).status ==
          enqueue_status::in_progress);
    enqueue(queue, make_credit_request("a2", 0, "a"), {10, 5}, clock.now());
    CHECK_FALSE(pick(queue, {10, 5}, clock.now()));
    finish(queue, "r", 5, clock.now());
    CHECK(pick_id(queue, {10, 5}, clock.now()) == "a2");
}

TEST_CASE("an account with a backlog uses headroom only when no other account needs it")
{
    manual_clock clock;
    queue_config config = three_tiers(100);
    config.tiers[1].floor = 0; // a free reserved slot would be used first
    queue_state queue = make_queue(config);
    const slot_view only_headroom{10, 2, 2};
    for (int i = 0; i < 10; ++i) {
        enqueue(queue, make_credit_request("l" + std::to_string(i), 0, "large"), {10, 0, 0},
                clock.now());
    }
    clock.advance(2s);
    enqueue(queue, make_credit_request("s0", 0, "small"), only_headroom, clock.now());
    const auto first = pick(queue, only_headroom, clock.now());
    REQUIRE(first);
    CHECK(first->request_id == "s0");
    CHECK(may_use_headroom(queue, *first, clock.now()));
    CHECK_FALSE(pick(queue, only_headroom, clock.now()));
    const auto other = pick(queue, {10, 3, 2}, clock.now());
    REQUIRE(other);
    CHECK(other->account == "large");
    CHECK_FALSE(may_use_headroom(queue, *other, clock.now()));
    // Demand in a less urgent tier does not keep headroom from this one.
    enqueue(queue, make_credit_request("n", 1, "small"), {10, 0, 0}, clock.now());
    clock.advance(5001ms);
    CHECK(pick_id(queue, only_headroom, clock.now()) == "l1");
}
