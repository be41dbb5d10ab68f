#include "bench/internal/control_scale.h"

#include <doctest/doctest.h>

using namespace almondline::bench;

namespace {

/// Figures that do not depend on the size.
std::vector<control_role> constant_roles(double value)
{
    const std::pair<const char*, std::vector<const char*>> names[] = {
        {"frames",
         {"demand bytes", "demand encode", "demand decode", "claim bytes", "claimed bytes"}},
        {"granting",
         {"steady bytes", "steady granter time", "steady holder time", "overload bytes",
          "overload granter time", "overload holder time", "memory of asks", "memory of an asker",
          "memory of replicas"}},
        {"membership", {"bytes sent", "bytes sent for a failure", "time", "memory"}},
        {"manifest", {"text", "parse", "memory"}},
        {"distribution", {"bytes sent by text bytes", "time by text bytes"}},
        {"idempotency",
         {"time", "writes", "reads", "memory of outcomes", "memory of records", "record"}},
        {"placement", {"plan", "memory"}},
        {"decision log", {"memory of lines"}},
        {"store calls",
         {"fleet watches at rest", "fleet gets at rest", "fleet watches for a change",
          "fleet gets for a change", "placement gets", "placement lease renewals",
          "placement writes", "publication writes", "publication gets"}}};
    std::vector<control_role> roles;
    for (const auto& [role, figures] : names) {
        roles.push_back({role, {}});
        for (const auto* figure : figures) {
            roles.back().add(figure, "B", "n", 0, value);
            roles.back().add(figure, "B", "n", 1'000'000, value);
        }
    }
    return roles;
}

const control_cost& find(const std::vector<control_cost>& all, const std::string& name)
{
    for (const control_cost& it : all) {
        if (it.name == name) {
            return it;
        }
    }
    FAIL("no cost is named " << name);
    return all.front();
}

// 100 instances, 10 slices of 2 replicas, 1000 requests/s, 2 changes and 1 failure a second.
const fleet_scale simple{"simple", 100, 4, 20, 2, 1000, 5, 2 * 86'400, 86'400};

} // namespace

TEST_CASE("a cost is the measured figure times the rate of one instance, not of the fleet")
{
    const auto all = control_costs(constant_roles(50), simple);
    const control_cost& granter = find(all, "granter, steady");
    CHECK(granter.bytes_per_second == doctest::Approx(100 * 50));
    CHECK(granter.core_share == doctest::Approx(100 * 50e-9));
    CHECK(granter.memory_bytes == doctest::Approx(50 + 50));
    CHECK(find(all, "granter, overload").bytes_per_second == doctest::Approx(200 * 50));
    CHECK(find(all, "holder, steady").memory_bytes == doctest::Approx(50));
    CHECK(find(all, "holder, steady").bytes_per_second == doctest::Approx(10 * 50));
    CHECK(find(all, "membership").bytes_per_second == doctest::Approx(2 * (50 + 1 * 50)));
    const control_cost& manifest = find(all, "manifest and distribution");
    CHECK(manifest.bytes_per_second == doctest::Approx(2 * 2 * 50));
    CHECK(manifest.core_share == doctest::Approx(2 * (50 + 50) * 1e-9));
    CHECK(find(all, "placement candidate").bytes_per_second == doctest::Approx(10 * 50));
}

TEST_CASE("the sums contain each cost once, and only the candidate's adds the placement cost")
{
    const auto all = control_costs(constant_roles(50), simple);
    const double ordinary = find(all, "sum, ordinary instance").bytes_per_second;
    CHECK(ordinary == doctest::Approx(5000 + 500 + 200 + 200 + 2 * 50 + 2 * 0.1 * (50 + 50)));
    CHECK(find(all, "sum, placement candidate").bytes_per_second ==
          doctest::Approx(ordinary + 500));
}

TEST_CASE("a cost over any one limit is not within the budget, a cost at all limits is")
{
    const control_budget budget{0.1, 200, 30};
    CHECK(is_within({"", 0.1, 200, 30}, budget));
    CHECK(!is_within({"", 0.11, 0, 0}, budget));
    CHECK(!is_within({"", 0, 201, 0}, budget));
    CHECK(!is_within({"", 0, 0, 31}, budget));
}

TEST_CASE("a size outside the measured range is marked as extrapolated, one inside it is not")
{
    auto roles = constant_roles(50);
    CHECK(!find(control_costs(roles, simple), "membership").is_extrapolated);
    control_role& membership = roles[2];
    membership.series.clear();
    for (const char* figure : {"bytes sent", "bytes sent for a failure", "time", "memory"}) {
        membership.add(figure, "B", "members", 10, 10);
        membership.add(figure, "B", "members", 50, 50);
    }
    const auto all = control_costs(roles, simple);
    CHECK(find(all, "membership").is_extrapolated);
    CHECK(find(all, "membership").memory_bytes == doctest::Approx(100));
}

TEST_CASE("store calls add up, and pending watches are counted separately")
{
    const auto all = store_loads(constant_roles(1), simple);
    CHECK(all.back().name == "sum");
    // 2 watches and gets at rest, 2 changes of 3 reads, 10 claims, 1 of placement.
    CHECK(all.back().reads == doctest::Approx(2 + 6 + 10 + 1));
    CHECK(all.back().writes == doctest::Approx(2 + 10 + 2));
    CHECK(all.back().pending_watches == doctest::Approx(30));
}
