#include "gateway/address_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace almondline;
using namespace almondline::gateway;

namespace {

constexpr std::size_t limit = 64;

std::vector<membership::member> instances(int domains, int per_domain)
{
    std::vector<membership::member> out;
    for (int domain = 0; domain < domains; ++domain) {
        for (int i = 0; i < per_domain; ++i) {
            membership::member it;
            it.id = "d" + std::to_string(domain) + "-" + std::to_string(i);
            it.failure_domain = "d" + std::to_string(domain);
            out.push_back(it);
        }
    }
    return out;
}

std::set<std::string> ids_of(const std::vector<membership::member>& instances)
{
    std::set<std::string> out;
    for (const auto& it : instances) {
        out.insert(it.id);
    }
    return out;
}

} // namespace

TEST_CASE("callers of a small fleet receive the addresses of all instances")
{
    CHECK(choose_addresses(instances(3, 3), "d0", limit).size() == 9);
}

// All callers used to receive the first 64 instances by name, and the others got no requests.
TEST_CASE("callers of all domains together use every instance of a large fleet evenly")
{
    const auto all = instances(5, 59);
    std::map<std::string, int> domains_by_instance;
    for (int domain = 0; domain < 5; ++domain) {
        const auto name = "d" + std::to_string(domain);
        const auto chosen = choose_addresses(all, name, limit);
        CHECK(chosen.size() == limit);
        CHECK(std::count_if(chosen.begin(), chosen.end(),
                            [&](const auto& it) { return it.failure_domain == name; }) == 59);
        for (const auto& it : chosen) {
            ++domains_by_instance[it.id];
        }
    }
    CHECK(domains_by_instance.size() == all.size());
    for (const auto& [id, count] : domains_by_instance) {
        CHECK(count <= 3);
    }
}

// Callers close their connections to addresses that are missing from the latest response.
TEST_CASE("when an instance stops, only its address is replaced")
{
    const auto all = instances(2, 100);
    const auto before = ids_of(choose_addresses(all, "d1", limit));
    auto rest = all;
    std::erase_if(rest, [&](const auto& it) { return it.id == *before.begin(); });
    const auto after = ids_of(choose_addresses(rest, "d1", limit));
    std::vector<std::string> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                          std::back_inserter(kept));
    CHECK(kept.size() == limit - 1);
}
