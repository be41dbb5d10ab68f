#include "gateway/route_table.h"

#include "common/hash.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::gateway;

namespace {

route_policy make_route(const std::string& host, const std::string& prefix, int urgency)
{
    route_policy out;
    out.name = host + prefix;
    out.host = host;
    out.prefix = prefix;
    out.urgency = urgency;
    out.services = {{"chat", 1}};
    return out;
}

std::shared_ptr<const route_table> make_table()
{
    auto m = std::make_shared<manifest>();
    m->routes = {make_route("a.example", "/x/", 0), make_route("a.example", "/x/y/", 2),
                 make_route("b.example", "/", 1)};
    account_policy high;
    high.name = "high";
    high.key_hashes = {sha256_hex("high-key")};
    account_policy low;
    low.name = "low";
    low.urgency = 3;
    m->accounts = {low, high};
    m->tiers = make_tiers(*m);
    return make_route_table(std::move(m));
}

std::string route_of(const route_table& table, const std::string& host, std::string_view path)
{
    const auto* route = find_route(table, host, path);
    return route == nullptr ? std::string{} : route->name;
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is chosen")
{
    const auto table = make_table();
    CHECK(route_of(*table, "a.example", "/x/1") == "a.example/x/");
    CHECK(route_of(*table, "a.example", "/x/y/1") == "a.example/x/y/");
    CHECK(route_of(*table, "a.example", "/x") == "");
    CHECK(route_of(*table, "a.example", "/xy/") == "");
    CHECK(route_of(*table, "b.example", "/x/1") == "b.example/");
    CHECK(route_of(*table, "c.example", "/x/1") == "");
}

TEST_CASE("a key maps to its account, and an unknown or empty key to none")
{
    const auto table = make_table();
    REQUIRE(find_account_of_key(*table, "high-key") != nullptr);
    CHECK(find_account_of_key(*table, "high-key")->name == "high");
    CHECK(find_account_of_key(*table, "other") == nullptr);
    CHECK(find_account_of_key(*table, "") == nullptr);
}

TEST_CASE("tiers are ordered by account urgency first, then by route urgency")
{
    const auto table = make_table();
    const auto& m = *table->content;
    CHECK(m.tiers.size() == 6);
    CHECK(tier_of(m, 0, 0) == 0);
    CHECK(tier_of(m, 0, 2) == 2);
    CHECK(tier_of(m, 3, 0) == 3);
    CHECK(m.tiers[2].group != m.tiers[3].group);
}

TEST_CASE("services of a route are selected by weight")
{
    route_policy route;
    route.services = {{"a", 90}, {"b", 10}};
    CHECK(choose_service(route, 0) == "a");
    CHECK(choose_service(route, 0.899) == "a");
    CHECK(choose_service(route, 0.901) == "b");
    CHECK(choose_service(route, 1) == "b");
}
