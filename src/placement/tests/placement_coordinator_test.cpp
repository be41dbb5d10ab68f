#include "placement/placement_coordinator.h"
#include "store/tests/fake_key_value_store.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>

using namespace almondline;
using namespace almondline::placement;
using namespace std::chrono_literals;

namespace {

struct fake_engine {
    bool checks_fencing = true;
    std::uint64_t highest = 0;
    std::vector<std::uint64_t> accepted; ///< fencing tokens of the orders that took effect
};

/// Order sender for the engines "strict", which checks the fencing token, and "lax", which does
/// not. Can delay orders.
class fake_sender final : public order_sender {
public:
    explicit fake_sender(const manual_clock& clock) : clock_{clock} {}

    void send(const placement_order& order, std::chrono::milliseconds timeout,
              std::function<void(order_status)> done) override
    {
        if (before_send) {
            std::exchange(before_send, nullptr)();
        }
        held_.push_back({order, clock_.now() + timeout, std::move(done)});
        if (!is_holding) {
            deliver();
        }
    }

    /// Delivers the delayed orders. An order whose deadline has passed is not delivered.
    void deliver()
    {
        while (!held_.empty()) {
            const auto it = std::move(held_.front());
            held_.pop_front();
            if (clock_.now() > it.deadline && !ignores_deadline) {
                it.done(order_status::unknown);
                continue;
            }
            auto& engine = engines[it.order.replica_id];
            const bool is_stale = engine.checks_fencing && it.order.fencing < engine.highest;
            if (!is_stale) {
                engine.highest = it.order.fencing;
                engine.accepted.push_back(it.order.fencing);
            }
            it.done(is_stale ? order_status::stale : order_status::done);
        }
    }

    std::map<std::string, fake_engine> engines{{"strict", {true, 0, {}}}, {"lax", {false, 0, {}}}};
    bool is_holding = false;
    bool ignores_deadline = false;
    std::function<void()> before_send;

private:
    struct held_order {
        placement_order order;
        steady_time deadline;
        std::function<void(order_status)> done;
    };
    const manual_clock& clock_;
    std::deque<held_order> held_;
};

struct instance {
    instance(fake_key_value_store& store, const manual_clock& clock, const std::string& id)
        : sender{clock}, coordinator{store, clock, sender, [this] { return std::vector{input}; },
                                     id,    {}}
    {
        // Both engines lack the model that the policy wants, and never load it.
        input.policies = {{"m", 1, 2, 2}};
        input.replicas = {{"strict", "127.0.0.1:1", "d1", "x"}, {"lax", "127.0.0.1:2", "d2", "x"}};
    }

    placement_input input;
    fake_sender sender;
    placement_coordinator coordinator;
};

struct fixture {
    manual_clock clock;
    fake_key_value_store store{clock};
    instance first{store, clock, "e1"};
    instance second{store, clock, "e2"};

    void run(std::chrono::milliseconds time, const std::vector<instance*>& running)
    {
        for (auto passed = 0ms; passed < time; passed += 100ms) {
            clock.advance(100ms);
            for (auto* it : running) {
                it->coordinator.tick(clock.now());
                store.run();
            }
        }
    }
    std::uint64_t orders() const
    {
        return first.coordinator.orders_sent() + second.coordinator.orders_sent();
    }
};

constexpr auto lifetime_and_margin = 12s;

} // namespace

TEST_CASE("one instance holds the lease and sends no order before a lifetime plus the margin")
{
    fixture f;
    f.run(1s, {&f.first, &f.second});
    CHECK(f.first.coordinator.is_holder());
    CHECK_FALSE(f.second.coordinator.is_holder());
    CHECK(f.first.coordinator.fencing() == f.store.revision(placement_lease_key));
    f.run(lifetime_and_margin - 1s, {&f.first, &f.second});
    CHECK(f.orders() == 0);
    f.run(60s, {&f.first, &f.second});
    CHECK(f.first.coordinator.orders_sent() > 0);
    CHECK(f.second.coordinator.orders_sent() == 0);
    CHECK(f.store.lease_count() == 1);
}

// Guards against two holders sending orders to the same engine: a holder that was paused must not
// send when it resumes, whatever it had planned before.
TEST_CASE("a holder that was paused sends nothing until it holds the lease again")
{
    fixture f;
    f.run(20s, {&f.first, &f.second});
    REQUIRE(f.first.coordinator.is_holder());
    const auto before = f.first.coordinator.orders_sent();
    f.run(40s, {&f.second});
    CHECK(f.second.coordinator.is_holder());
    CHECK(f.second.coordinator.orders_sent() > 0);
    CHECK(f.second.coordinator.fencing() > f.first.coordinator.fencing());
    f.run(30s, {&f.first, &f.second});
    CHECK(f.first.coordinator.orders_sent() == before);
    CHECK_FALSE(f.first.coordinator.is_holder());
}

TEST_CASE("a pause between two orders of one plan stops the second one")
{
    fixture f;
    f.run(13s, {&f.first});
    REQUIRE(f.first.coordinator.is_holder());
    f.first.sender.engines.clear();
    f.first.input.policies[0].model = "n";
    f.first.input.replicas = {{"r1", "", "", ""}, {"r2", "", "", ""}};
    const auto before = f.first.coordinator.orders_sent();
    f.first.sender.before_send = [&] { f.clock.advance(9s); };
    for (int i = 0; i < 30 && f.first.coordinator.orders_sent() == before; ++i) {
        f.run(100ms, {&f.first});
    }
    CHECK(f.first.coordinator.orders_sent() == before + 1);
}

TEST_CASE("an order delayed by a pause is refused by its fencing token, or stopped by its deadline")
{
    for (const bool ignores_deadline : {false, true}) {
        CAPTURE(ignores_deadline);
        fixture f;
        // Each fake sender has its own engines. Below, the first one gets the state of the
        // second's, as if both instances had sent their orders to the same engines.
        f.run(11s, {&f.first});
        f.first.sender.is_holding = true;
        f.run(4s, {&f.first});
        REQUIRE(f.first.coordinator.orders_sent() == 2);
        const auto old_fencing = f.first.coordinator.fencing();
        f.run(40s, {&f.second});
        REQUIRE(f.second.coordinator.orders_sent() > 0);
        f.first.sender.engines = f.second.sender.engines;
        f.first.sender.ignores_deadline = ignores_deadline;
        f.first.sender.deliver();
        const auto& strict = f.first.sender.engines["strict"];
        const auto& lax = f.first.sender.engines["lax"];
        CHECK(std::count(strict.accepted.begin(), strict.accepted.end(), old_fencing) == 0);
        // Only the deadline protects a lax engine from an order that arrives this late.
        CHECK(std::count(lax.accepted.begin(), lax.accepted.end(), old_fencing) ==
              (ignores_deadline ? 1 : 0));
    }
}

TEST_CASE("a former holder's last order precedes the next holder's first by a lifetime and margin")
{
    fixture f;
    f.run(30s, {&f.first, &f.second});
    const auto before = f.first.coordinator.orders_sent();
    f.store.set_down(true);
    std::uint64_t last_count = before;
    steady_time last_order = f.clock.now();
    for (int i = 0; i < 300; ++i) {
        f.run(100ms, {&f.first, &f.second});
        if (f.first.coordinator.orders_sent() > last_count) {
            last_count = f.first.coordinator.orders_sent();
            last_order = f.clock.now();
        }
    }
    f.store.set_down(false);
    while (f.second.coordinator.orders_sent() == 0) {
        f.run(100ms, {&f.second});
    }
    CHECK(f.clock.now() - last_order > lifetime_and_margin);
}

TEST_CASE("a store outage stops orders before the lease expires, and they resume afterwards")
{
    fixture f;
    f.run(30s, {&f.first});
    const auto fencing = f.first.coordinator.fencing();
    f.store.set_down(true);
    f.run(8s, {&f.first});
    const auto stopped = f.first.coordinator.orders_sent();
    f.run(30s, {&f.first});
    CHECK(f.first.coordinator.orders_sent() == stopped);
    f.store.set_down(false);
    f.run(5s, {&f.first});
    CHECK(f.first.coordinator.is_holder());
    CHECK(f.first.coordinator.fencing() > fencing);
    CHECK(f.first.coordinator.orders_sent() == stopped);
    f.run(20s, {&f.first});
    CHECK(f.first.coordinator.orders_sent() > stopped);
}

TEST_CASE("after lost lease calls there is one holder, and no record without a lease")
{
    using enum store_fault;
    struct row {
        const char* name;
        /// Of the lease request, the write of the record, then the renewals.
        std::vector<store_fault> faults;
    };
    const row rows[] = {
        {"grant answer lost", {lose_response}},
        {"grant request lost", {lose_request}},
        {"record answer lost", {none, lose_response}},
        {"record request lost", {none, lose_request}},
        {"record late", {none, late_write}},
        {"record refused", {none, refuse}},
        {"record conflict", {none, conflict}},
        {"renewal answers lost", {none, none, lose_response, lose_response, lose_response}},
        {"renewal requests lost", {none, none, lose_request, lose_request}},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        fixture f;
        f.store.set_faults(it.faults);
        f.run(1s, {&f.first});
        if (std::string{it.name} == "record conflict") {
            // The fake store writes the record for another instance without a lease; it would never
            // expire, so it is removed here.
            f.store.erase(placement_lease_key);
        }
        f.run(60s, {&f.first, &f.second});
        CHECK(f.first.coordinator.is_holder() != f.second.coordinator.is_holder());
        const auto& holder = f.first.coordinator.is_holder() ? f.first : f.second;
        CHECK(holder.coordinator.fencing() == f.store.revision(placement_lease_key));
        CHECK(holder.coordinator.orders_sent() > 0);
        CHECK(f.store.lease_count() == 1);
    }
}

// Guards against measuring the lease from the answer to a slow renewal: the store may measure from
// the arrival of the request, and expire the lease earlier.
TEST_CASE("a renewed lease is measured from before the renewal was sent")
{
    manual_clock clock;
    fake_key_value_store store{clock};
    lease_keeper keeper{store, clock, "k", "e1", {}};
    const auto step = [&] {
        clock.advance(100ms);
        keeper.tick(clock.now());
        store.run();
    };
    for (int i = 0; i < 150; ++i) {
        step();
    }
    REQUIRE(keeper.may_send_orders(clock.now()));
    store.set_delay(4s);
    while (store.pending() == 0) {
        step();
    }
    const auto sent = clock.now();
    while (store.pending() != 0) {
        step();
    }
    store.set_down(true);
    while (keeper.may_send_orders(clock.now())) {
        step();
    }
    CHECK(clock.now() - sent == 8s);
}

TEST_CASE("after a lost answer, an instance does not claim a record that another one wrote first")
{
    fixture f;
    f.store.set_faults({store_fault::none, store_fault::lose_response});
    f.store.before_next_write([&] { f.store.put(placement_lease_key, "rival"); });
    f.run(30s, {&f.first});
    CHECK_FALSE(f.first.coordinator.is_holder());
    CHECK(f.store.value(placement_lease_key) == "rival");
    CHECK(f.orders() == 0);
}

TEST_CASE("an instance that is no longer a candidate releases the lease at once")
{
    fixture f;
    f.run(30s, {&f.first, &f.second});
    f.first.coordinator.set_candidate(false);
    const auto before = f.first.coordinator.orders_sent();
    f.run(6s, {&f.first, &f.second});
    CHECK_FALSE(f.first.coordinator.is_holder());
    CHECK(f.second.coordinator.is_holder());
    CHECK(f.first.coordinator.orders_sent() == before);
}

TEST_CASE("an engine that has seen a higher fencing token makes the holder step down")
{
    fixture f;
    f.run(11s, {&f.first});
    f.first.sender.engines["strict"].highest = 1000;
    f.run(2s, {&f.first});
    CHECK_FALSE(f.first.coordinator.is_holder());
    CHECK(f.first.sender.engines["strict"].accepted.empty());
}

TEST_CASE("a holder whose lease id belongs to another client after a restore steps down")
{
    manual_clock clock;
    fake_key_value_store store{clock};
    lease_keeper keeper{store, clock, "k", "e1", {}};
    const auto empty = store.make_backup();
    const auto run_for = [&](std::chrono::milliseconds time) {
        for (const auto end = clock.now() + time; clock.now() < end; clock.advance(100ms)) {
            keeper.tick(clock.now());
            store.run();
        }
    };
    run_for(30s);
    REQUIRE(keeper.may_send_orders(clock.now()));
    const auto before = keeper.fencing();
    store.restore(empty);
    std::string foreign;
    store.grant_lease(600s, [&](const lease_result& it) { foreign = it.lease_id; });
    store.run();
    run_for(200ms);
    CHECK_FALSE(keeper.may_send_orders(clock.now()));
    run_for(30s);
    CHECK(keeper.may_send_orders(clock.now()));
    CHECK(keeper.fencing() > before);
    // The other client's lease was not ended.
    bool is_renewed = false;
    store.renew_lease(foreign, [&](const lease_result& it) { is_renewed = it.is_granted; });
    store.run();
    CHECK(is_renewed);
}
