#include "placement/plan.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::placement;
using namespace std::chrono_literals;

namespace {

/// Six replicas of two models in three failure domains that carry out each order at once.
struct fixture {
    fixture()
    {
        for (int i = 0; i < 6; ++i) {
            const auto n = std::to_string(i);
            replicas.push_back(
                {"r" + n, "127.0.0.1:" + n, "d" + std::to_string(i % 3), i < 4 ? "a" : "b"});
        }
    }

    /// Plans once a second and carries out the orders.
    std::vector<placement_decision> run(std::chrono::seconds time)
    {
        std::vector<placement_decision> all;
        for (auto passed = 0s; passed < time; ++passed) {
            clock.advance(1s);
            const auto decisions =
                plan_placement(state, demand, replicas, policies, budget, settings, clock.now());
            for (const auto& it : decisions) {
                apply_order(it);
                all.push_back(it);
            }
        }
        return all;
    }

    void apply_order(const placement_decision& decision)
    {
        for (auto& it : replicas) {
            if (it.id != decision.replica_id || ignores_orders) {
                continue;
            }
            if (decision.kind == order_kind::load) {
                // Invariant 7 (docs/design.md): a load must not interrupt requests in progress.
                CHECK(it.in_flight == 0);
                it.model = decision.model;
            }
            it.is_draining = decision.kind == order_kind::drain ||
                             (it.is_draining && decision.kind != order_kind::serve);
        }
    }

    int count(const std::string& model) const
    {
        int n = 0;
        for (const auto& it : replicas) {
            n += it.model == model && !it.is_draining ? 1 : 0;
        }
        return n;
    }

    manual_clock clock;
    plan_state state;
    std::vector<replica_status> replicas;
    std::vector<placement_policy> policies{{"a", 1000, 1, 5}, {"b", 1000, 1, 5}};
    std::vector<model_demand> demand{{"a", 2.8}, {"b", 1.4}};
    weight_budget budget{1000, 2000, 2000, {}};
    plan_settings settings;
    bool ignores_orders = false;
};

} // namespace

TEST_CASE("a lasting load change moves replicas by drain, load, serve; steady load moves none")
{
    fixture f;
    CHECK(f.run(120s).empty());
    f.demand = {{"a", 0.4}, {"b", 3.0}};
    CHECK(f.run(4s).empty());
    // Both targets together exceed the six replicas, so each model gets three of them.
    const auto first = f.run(50s);
    REQUIRE(first.size() == 3);
    CHECK(first[0].kind == order_kind::drain);
    CHECK(first[0].reason == "has 2 replicas, wants 3");
    CHECK(first[1].kind == order_kind::load);
    CHECK(first[2].kind == order_kind::serve);
    CHECK(f.count("b") == 3);
    // The target of model a falls only after scale_down_after.
    CHECK(f.run(30s).size() == 3);
    CHECK(f.count("a") == 2);
    CHECK(f.count("b") == 4);
    CHECK(f.state.changes.empty());
    CHECK(f.run(120s).empty());
}

// Guards against loading weights, which takes minutes each time, for a load that fluctuates.
TEST_CASE("a flapping load moves no replica")
{
    fixture f;
    for (int i = 0; i < 100; ++i) {
        f.demand = i % 2 == 0 ? std::vector<model_demand>{{"a", 0.2}, {"b", 4.0}}
                              : std::vector<model_demand>{{"a", 3.2}, {"b", 0.2}};
        CHECK(f.run(4s).empty());
    }
}

TEST_CASE("a drain waits for the last request and is reverted if the load returns")
{
    fixture f;
    f.settings.scale_down_after = 5s;
    for (auto& it : f.replicas) {
        it.in_flight = 3;
    }
    f.demand = {{"a", 0.4}, {"b", 3.0}};
    const auto first = f.run(30s);
    REQUIRE(first.size() == 2);
    CHECK(first[0].kind == order_kind::drain);
    CHECK(first[1].kind == order_kind::drain);
    CHECK(first[0].replica_id != first[1].replica_id);
    f.demand = {{"a", 2.8}, {"b", 0.4}};
    const auto second = f.run(30s);
    REQUIRE(second.size() == 2);
    CHECK(second[0].kind == order_kind::serve);
    CHECK(f.count("a") == 4);
}

TEST_CASE("a model below its minimum gets replicas at once, within the weight budget")
{
    fixture f;
    f.policies.push_back({"c", 4000, 2, 3});
    f.policies[0].max_replicas = 2;
    f.budget = {1000, 4000, 0, {}};
    CHECK(f.run(1s).size() == 2);
    // 4000 MB for each replica at 1000 MB/s: loads are at least 4 s apart.
    CHECK(f.run(3s).empty());
    CHECK(f.run(4s).size() == 2);
    CHECK(f.count("c") == 1);
    f.run(8s);
    CHECK(f.count("c") == 2);
}

TEST_CASE("an order without effect is resent, but not every second")
{
    fixture f;
    f.ignores_orders = true;
    f.policies[1].min_replicas = 3;
    f.policies[0].max_replicas = 3;
    const auto decisions = f.run(16s);
    REQUIRE(decisions.size() == 4);
    CHECK_FALSE(decisions[0].is_repeated);
    CHECK(decisions[1].is_repeated);
    CHECK(decisions[1].replica_id == decisions[0].replica_id);
}

TEST_CASE("a new holder returns replicas to service that the former holder left draining")
{
    fixture f;
    f.replicas[0].is_draining = true;
    f.replicas[5].is_draining = true;
    const auto decisions = f.run(1s);
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0].kind == order_kind::serve);
    CHECK(decisions[1].kind == order_kind::serve);
    CHECK(f.run(60s).empty());
}

TEST_CASE("a leaving replica ends its change, and the number of replicas limits the targets")
{
    fixture f;
    f.settings.scale_down_after = 5s;
    f.replicas[0].in_flight = 1;
    f.policies[1].min_replicas = 3;
    f.policies[0].max_replicas = 3;
    const auto drained = f.run(1s);
    REQUIRE(drained.size() == 1);
    for (auto& it : f.replicas) {
        it.is_leaving = it.id == drained[0].replica_id;
    }
    f.run(1s);
    CHECK(f.state.changes.count(drained[0].replica_id) == 0);
    // Both models want more replicas than there are: none may move back and forth.
    f.demand = {{"a", 9}, {"b", 9}};
    f.run(60s);
    CHECK(f.run(120s).empty());
}
