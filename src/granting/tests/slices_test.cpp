#include "granting/slices.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace almondline;
using namespace almondline::granting;

namespace {

std::vector<std::string> servers(int count)
{
    std::vector<std::string> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        out.push_back("server-" + std::to_string(i));
    }
    return out;
}

std::map<std::string, std::size_t> slice_of(const std::vector<std::string>& ids, std::size_t slices)
{
    std::map<std::string, std::size_t> out;
    const auto divided = divide_servers(ids, slices);
    for (std::size_t i = 0; i < divided.size(); ++i) {
        for (const auto& it : divided[i]) {
            out[it] = i;
        }
    }
    return out;
}

std::vector<membership::member> instances(int large, int small)
{
    std::vector<membership::member> out;
    for (int i = 0; i < large + small; ++i) {
        membership::member it;
        it.id = "e" + std::to_string(i);
        it.incarnation = 1;
        it.cores = i < large ? 0.5 : 0.12;
        out.push_back(it);
    }
    return out;
}

std::vector<pool_load> loads(std::size_t slices)
{
    std::vector<pool_load> out{{"desk", 6}};
    for (std::size_t i = 0; i < slices; ++i) {
        out.push_back({slice_name("chat", i, slices), 1});
    }
    return out;
}

std::map<std::string, double> work_by_owner(const std::vector<pool_load>& pools,
                                            const std::vector<membership::member>& members)
{
    std::map<std::string, double> out;
    const auto owners = assign_owners(pools, members);
    for (const auto& it : pools) {
        out[owners.at(it.pool).instance_id] += it.work;
    }
    return out;
}

} // namespace

TEST_CASE("small services are not divided, others into a power of two of slices")
{
    CHECK(slice_count(0, 16) == 1);
    CHECK(slice_count(18, 16) == 1);
    CHECK(slice_count(32, 16) == 1);
    CHECK(slice_count(60, 16) == 4);
    CHECK(slice_count(256, 16) == 16);
    CHECK(slice_count(10'000, 16) == 512);
    CHECK(slice_count(10'000, 0) == 1);
    CHECK(slice_name("chat", 0, 1) == "chat");
    CHECK(slice_name("chat", 3, 4) == "chat/3");
}

// A larger slice than the others would have unused slots while the others refuse requests.
TEST_CASE("slices have nearly equal sizes and contain each server once")
{
    for (const int count : {0, 5, 61, 256}) {
        const auto divided = divide_servers(servers(count), 4);
        std::set<std::string> all;
        for (const auto& it : divided) {
            all.insert(it.begin(), it.end());
            CHECK(std::abs(static_cast<int>(it.size()) - count / 4) <= 1);
        }
        CHECK(all.size() == static_cast<std::size_t>(count));
    }
}

// A server that moves to another slice may get requests from two granters for a while.
TEST_CASE("removing a server moves at most one other server at each boundary of two slices")
{
    constexpr std::size_t slices = 16;
    const auto all = servers(256);
    const auto before = slice_of(all, slices);
    for (std::size_t removed = 0; removed < all.size(); removed += 17) {
        auto rest = all;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(removed));
        const auto after = slice_of(rest, slices);
        const auto moved = std::count_if(after.begin(), after.end(), [&](const auto& it) {
            return before.at(it.first) != it.second;
        });
        CHECK(moved < static_cast<std::ptrdiff_t>(slices));
    }
}

// If a small account used all slices, its allowance in each would be less than one of its requests.
TEST_CASE("large accounts use all slices, small ones few")
{
    CHECK(account_slice_count(330, 1000, 16) == 16);
    CHECK(account_slice_count(30, 1000, 16) == 2);
    CHECK(account_slice_count(4, 1000, 16) == 2);
    CHECK(account_slice_count(0, 1000, 16) == 16);
    CHECK(account_slice_count(5, 5, 1) == 1);
}

// Guards against a change of limits that moves accounts to other granters, whose allowance tables
// start with only a part of the burst.
TEST_CASE("more slices for an account include those it already had")
{
    const auto few = account_slices("chat", "a", 3, 16);
    const auto more = account_slices("chat", "a", 5, 16);
    CHECK(std::equal(few.begin(), few.end(), more.begin()));
    CHECK(std::set<std::size_t>(more.begin(), more.end()).size() == 5);
    CHECK(account_slices("chat", "a", 9, 4).size() == 4);
}

// Guards against a single owner of all pools, which cannot grant fast enough for the whole fleet.
TEST_CASE("large instances share the pools evenly")
{
    const auto pools = loads(16);
    const auto work = work_by_owner(pools, instances(15, 280));
    CHECK(work.size() >= 9);
    for (const auto& [id, it] : work) {
        CHECK((it <= 2 || it == 6));
    }
    CHECK(assign_owners(pools, {}).empty());
}

TEST_CASE("few pools move when an owner is lost")
{
    const auto pools = loads(16);
    auto members = instances(15, 280);
    const auto before = assign_owners(pools, members);
    const auto lost = before.at("chat/0").instance_id;
    std::erase_if(members, [&](const auto& it) { return it.id == lost; });
    const auto after = assign_owners(pools, members);
    int moved = 0;
    for (const auto& [pool, owner] : before) {
        moved += owner != after.at(pool) ? 1 : 0;
    }
    CHECK(moved <= 5);
}
