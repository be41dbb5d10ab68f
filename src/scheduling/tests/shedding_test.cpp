#include "scheduling/tests/queue_fixture.h"

#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace almondline;
using namespace almondline::scheduling;

TEST_CASE("a full queue sheds from the lowest tier the newest request of the largest account")
{
    manual_clock clock;
    queue_state queue = make_queue(three_tiers(4));
    enqueue(queue, make_credit_request("small", 2, "s"), {1, 0}, clock.now());
    enqueue(queue, make_credit_request("large1", 2, "l"), {1, 0}, clock.now());
    enqueue(queue, make_credit_request("large2", 2, "l"), {1, 0}, clock.now());
    enqueue(queue, make_credit_request("normal", 1, "x"), {1, 0}, clock.now());
    const auto urgent = enqueue(queue, make_credit_request("urgent", 0, "x"), {1, 0}, clock.now());
    CHECK(urgent.status == enqueue_status::accepted);
    REQUIRE(urgent.shed.size() == 1);
    CHECK(urgent.shed[0].request.request_id == "large2");
    CHECK(urgent.shed[0].reason.code == code_shed);
    CHECK(urgent.shed[0].reason.run == verdict::not_run);
    CHECK(urgent.shed[0].reason.retry_after > 0ms);
    const auto own = enqueue(queue, make_credit_request("large3", 2, "l"), {1, 0}, clock.now());
    CHECK(own.status == enqueue_status::refused);
    CHECK(own.shed.empty());
    const auto other = enqueue(queue, make_credit_request("normal2", 1, "y"), {1, 0}, clock.now());
    CHECK(other.status == enqueue_status::accepted);
    CHECK(other.shed.size() == 1);
}

TEST_CASE("a request with a free reserved slot is accepted even if the queue is full")
{
    manual_clock clock;
    queue_state queue = make_queue(three_tiers(2));
    for (int i = 0; i < 5; ++i) {
        enqueue(queue, make_credit_request("u" + std::to_string(i), 0, "a"), {10, 0}, clock.now());
    }
    const auto result = enqueue(queue, make_credit_request("batch", 2, "a"), {10, 1}, clock.now());
    CHECK(result.status == enqueue_status::accepted);
    CHECK(result.shed.empty());
    CHECK(pick(queue, {10, 1}, clock.now())->request_id == "batch");
}

TEST_CASE("a request that cannot meet its deadline is refused at once, with a retry-after")
{
    manual_clock clock;
    queue_state queue = make_queue(three_tiers(1000));
    // Makes the queue estimate a capacity of 2 slots with 10 units per second each.
    for (int i = 0; i < 10; ++i) {
        enqueue(queue, make_credit_request("l" + std::to_string(i), 0, "a", 10), {2, 1},
                clock.now());
        REQUIRE(pick(queue, {2, 1}, clock.now()));
        clock.advance(1s);
        finish(queue, "l" + std::to_string(i), 10, clock.now());
    }
    CHECK(status(queue).cost_per_second == doctest::Approx(20));
    for (int i = 0; i < 20; ++i) {
        enqueue(queue, make_credit_request("w" + std::to_string(i), 0, "a", 10), {2, 0},
                clock.now());
    }
    credit_request late = make_credit_request("late", 0, "a", 10);
    late.deadline = clock.now() + 6s;
    late.estimated_service = 1s;
    const auto refused = enqueue(queue, late, {2, 0}, clock.now());
    CHECK(refused.reason.code == code_deadline); // 200 units wait: 10 s
    CHECK(refused.reason.retry_after >= 4s);
    CHECK(refused.reason.retry_after <= 6s);
    late.deadline = clock.now() + 500ms;
    CHECK(enqueue(queue, late, {2, 2}, clock.now()).reason.retry_after == 0ms);
    // Another account does not wait behind this backlog.
    late.account = "b";
    late.deadline = clock.now() + 6s;
    CHECK(enqueue(queue, late, {2, 0}, clock.now()).status == enqueue_status::accepted);
}

TEST_CASE("waiting requests expire when they can't start in time, or are predicted not to")
{
    manual_clock clock;
    queue_state queue = make_queue(three_tiers(1000));
    credit_request request = make_credit_request("a", 0, "a");
    request.deadline = clock.now() + 3s;
    request.estimated_service = 1s;
    enqueue(queue, request, {1, 0}, clock.now());
    CHECK(expire(queue, clock.now() + 1999ms).empty());
    const auto expired = expire(queue, clock.now() + 2001ms);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].reason.code == code_deadline);
    for (int i = 0; i < 5; ++i) {
        enqueue(queue, make_credit_request("l" + std::to_string(i), 0, "a", 10), {1, 1},
                clock.now());
        REQUIRE(pick(queue, {1, 1}, clock.now()));
        clock.advance(1s);
        finish(queue, "l" + std::to_string(i), 10, clock.now());
    }
    credit_request batch = make_credit_request("batch", 2, "b", 10);
    batch.deadline = clock.now() + 20s;
    CHECK(enqueue(queue, batch, {1, 0}, clock.now()).status == enqueue_status::accepted);
    for (int i = 0; i < 30; ++i) {
        enqueue(queue, make_credit_request("u" + std::to_string(i), 0, "a", 100), {1, 0},
                clock.now());
    }
    // The floor of its tier still serves the request, so it does not expire.
    CHECK(expire(queue, clock.now()).empty());
    queue_config config_without_floor = three_tiers(1000);
    config_without_floor.tiers[2].floor = 0;
    reconfigure(queue, config_without_floor, clock.now());
    CHECK(expire(queue, clock.now()).size() == 1);
}

TEST_CASE("kinds that are not in the manifest do not grow the queue's state")
{
    manual_clock clock;
    queue_state queue = make_queue(three_tiers(10));
    for (int i = 0; i < 100; ++i) {
        enqueue(queue, make_credit_request("r", 0, "a", 1, "kind" + std::to_string(i)), {1, 1},
                clock.now());
        REQUIRE(pick(queue, {1, 1}, clock.now()));
        finish(queue, "r", 1, clock.now());
    }
    CHECK(queue.tiers[0].kinds.size() == 1);
    CHECK(queue.kind_floors.size() == 2);
}

TEST_CASE("random operations never shed an urgent tier first, and a drained queue is empty")
{
    std::mt19937 random{7};
    manual_clock clock;
    queue_config config = three_tiers(40);
    config.accounts["c0"] = {"c0", 1, 3, {}, {}};
    queue_state queue = make_queue(config);
    constexpr int slots = 12;
    std::set<std::string> running;
    std::multiset<int> waiting_tiers;
    int sheds = 0;
    const auto free_slots = [&] { return slots - static_cast<int>(running.size()); };
    const auto check_removed = [&](const std::vector<shed_request>& removed) {
        for (const shed_request& each : removed) {
            waiting_tiers.erase(waiting_tiers.find(each.request.tier));
            sheds += each.reason.code == code_shed ? 1 : 0;
            const bool is_inverted = each.reason.code == code_shed && !waiting_tiers.empty() &&
                                     *waiting_tiers.rbegin() > each.request.tier;
            REQUIRE_FALSE(is_inverted);
        }
    };
    for (int i = 0; i < 20'000; ++i) {
        clock.advance(10ms);
        credit_request request =
            make_credit_request("r" + std::to_string(i), static_cast<int>(random() % 3),
                                "c" + std::to_string(random() % 5), 1 + random() % 100,
                                random() % 4 == 0 ? "check" : "draft");
        request.deadline = clock.now() + std::chrono::milliseconds{random() % 20'000};
        const int tier = request.tier;
        const auto result = enqueue(queue, std::move(request), {slots, free_slots()}, clock.now());
        if (result.status == enqueue_status::accepted) {
            waiting_tiers.insert(tier);
        }
        // If several requests are shed, the new one is shed last.
        check_removed(result.shed);
        if (result.reason.code == code_shed) {
            sheds += 1;
            REQUIRE((waiting_tiers.empty() || *waiting_tiers.rbegin() <= tier));
        }
        check_removed(expire(queue, clock.now()));
        while (const auto next = pick(queue, {slots, free_slots()}, clock.now())) {
            waiting_tiers.erase(waiting_tiers.find(next->tier));
            running.insert(next->request_id);
            if (random() % 10 == 0) {
                put_back(queue, *next, clock.now());
                running.erase(next->request_id);
                waiting_tiers.insert(next->tier);
                break;
            }
        }
        if (!running.empty() && random() % 2 == 0) {
            finish(queue, *running.begin(), 1 + random() % 100, clock.now());
            running.erase(running.begin());
        }
        REQUIRE(status(queue).waiting == waiting_tiers.size());
        REQUIRE(status(queue).in_progress == static_cast<int>(running.size()));
    }
    CHECK(sheds > 100);
    for (const std::string& id : running) {
        finish(queue, id, 1, clock.now());
    }
    while (const auto next = pick(queue, {slots, slots}, clock.now())) {
        finish(queue, next->request_id, 1, clock.now());
    }
    CHECK(status(queue).waiting == 0);
    for (const tier_status& tier : status(queue).tiers) {
        CHECK(tier.in_progress == 0);
        CHECK(tier.waiting_cost == 0);
    }
}

TEST_CASE("requests that the servers' request rate cannot serve in time are refused at once")
{
    // The forecast counted free slots only, so that callers waited until their deadline.
    queue_state queue = make_queue(queue_config{});
    manual_clock clock;
    slot_view slots{2, 1, 0};
    slots.rate_limited_total = 2;
    slots.rate_limited_slots = 12;
    slots.rate_limit = 4;
    const auto add = [&](const std::string& id) {
        credit_request request;
        request.request_id = id;
        request.account = "a";
        request.cost = 1;
        request.deadline = clock.now() + 1s;
        return enqueue(queue, request, slots, clock.now());
    };
    add("first");
    REQUIRE(pick(queue, slots, clock.now()));
    clock.advance(20ms);
    finish(queue, "first", 1, clock.now());
    slots.free = 0;
    int accepted = 0;
    enqueue_result last;
    for (int n = 0; n < 12; ++n) {
        last = add("r" + std::to_string(n));
        accepted += last.status == enqueue_status::accepted ? 1 : 0;
    }
    CHECK(accepted >= 4);
    CHECK(accepted <= 5);
    CHECK(last.reason.code == code_deadline);
    CHECK(last.reason.retry_after.count() > 0);
}
