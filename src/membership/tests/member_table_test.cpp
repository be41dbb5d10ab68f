#include "membership/tests/simulated_fleet.h"

#include <doctest/doctest.h>

using namespace almondline::membership;
using namespace almondline::membership::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("members of a lost domain stay suspects, and the domain unreachable, until they answer")
{
    for (const int members : {9, 60}) {
        CAPTURE(members);
        simulated_fleet f{members, 3, 0.05, 11};
        f.run(seconds{10});
        f.isolated_domains = {"domain-1"};
        f.run(seconds{20});
        const auto& inside = *f.tables.at(name_of(1));
        const auto& outside = *f.tables.at(name_of(0));
        CHECK(outside.unreachable_domains() == std::vector<std::string>{"domain-1"});
        CHECK(inside.unreachable_domains() == std::vector<std::string>{"domain-0", "domain-2"});
        CHECK(outside.state_of(name_of(1), 1000) == incarnation_state::silent);
        CHECK(f.false_deaths == 0);
        CHECK(outside.advertised_members().size() == static_cast<std::size_t>(members) / 3 * 2);
        f.isolated_domains.clear();
        f.run(seconds{5});
        CHECK(outside.unreachable_domains().empty());
        CHECK(f.false_deaths == 0); // also when answers and suspicions cross on the way back
        CHECK(outside.advertised_members().size() == static_cast<std::size_t>(members));
        CHECK(inside.advertised_members().size() == static_cast<std::size_t>(members));
    }
}

TEST_CASE(
    "a member that some can't reach directly is not suspected, since others probe it for them")
{
    simulated_fleet f{8, 2, 0, 37};
    f.run(seconds{5});
    for (const int other : {1, 2, 3, 4}) {
        f.broken_links.insert({name_of(0), name_of(other)});
        f.broken_links.insert({name_of(other), name_of(0)});
    }
    f.run(seconds{20});
    for (const auto& [id, table] : f.tables) {
        CHECK(table->suspicions() == 0);
    }
}

TEST_CASE("a list that lags does not revive a dead incarnation, but a restarted member comes back")
{
    simulated_fleet f{9, 3, 0, 13};
    f.run(seconds{5});
    f.kill(name_of(4));
    f.run(seconds{6});
    for (int i = 0; i < 70; ++i) {
        for (auto& [id, table] : f.tables) {
            table->apply_list(f.list(), f.now());
        }
        f.run(seconds{1});
        REQUIRE(f.is_excluded_everywhere(name_of(4)));
    }
    const auto& other = *f.tables.at(name_of(0));
    CHECK(other.state_of(name_of(4), 1000) == incarnation_state::gone);
    f.start(name_of(4), 2000);
    f.run(seconds{3});
    CHECK(f.count_status(name_of(4), member_status::alive) == 9);
    CHECK(other.state_of(name_of(4), 1000) == incarnation_state::gone);
    CHECK(other.state_of(name_of(4), 2000) == incarnation_state::current);
}

TEST_CASE("a member missing from the list stays if it answers and is removed if it does not")
{
    simulated_fleet f{9, 3, 0, 17};
    f.run(seconds{5});
    f.listed.erase(name_of(2));   // running, but not in the list yet
    f.listed.erase(name_of(3));   // about to die
    f.listed.insert(name_of(20)); // never answers
    f.kill(name_of(3));
    for (auto& [id, table] : f.tables) {
        table->apply_list(f.list(), f.now());
    }
    f.run(seconds{70});
    const auto& table = *f.tables.at(name_of(0));
    CHECK(table.find(name_of(2))->status == member_status::alive);
    CHECK(table.find(name_of(3)) == nullptr);
    CHECK(table.advertised_members().size() == 8);
    CHECK(table.find(name_of(20))->incarnation == 0);
    f.listed.erase(name_of(20));
    f.tables.at(name_of(0))->apply_list(f.list(), f.now());
    f.run(seconds{2});
    CHECK(table.find(name_of(20)) == nullptr);
}

TEST_CASE("a member that is leaving according to itself or to the list is not given to callers")
{
    simulated_fleet f{9, 3, 0.05, 19};
    f.run(seconds{5});
    f.tables.at(name_of(1))->set_leaving(f.now());
    f.run(seconds{3});
    CHECK(f.count_status(name_of(1), member_status::leaving) == 9);
    auto instances = f.list();
    instances[5].is_leaving = true; // entry-5 itself does not know it yet
    auto& table = *f.tables.at(name_of(0));
    table.apply_list(instances, f.now());
    CHECK(table.advertised_members().size() == 7);
    // The list lags, but its entry is about the old incarnation: a restarted member is not leaving.
    f.start(name_of(5), 3000);
    f.run(seconds{2});
    table.apply_list(instances, f.now());
    CHECK(table.advertised_members().size() == 8);
}

TEST_CASE("a member paused for 20 s declares no running member dead and comes back by refuting")
{
    simulated_fleet f{9, 3, 0, 23};
    f.run(seconds{5});
    auto paused = std::move(f.tables.at(name_of(6)));
    f.kill(name_of(6));
    f.run(seconds{10});
    CHECK(f.count_status(name_of(6), member_status::dead) == 8);
    f.kill(name_of(3)); // while the paused member receives nothing
    f.run(seconds{10});
    f.tables[name_of(6)] = std::move(paused);
    f.run(seconds{4});
    const auto& back = *f.tables.at(name_of(6));
    CHECK(f.false_deaths <= 7); // the paused member, until the others receive its refutation
    CHECK(back.find(name_of(3))->status == member_status::dead);
    CHECK(back.advertised_members().size() == 8);
    CHECK(f.is_excluded_everywhere(name_of(3)));
    CHECK(f.count_status(name_of(6), member_status::alive) == 8);
}

TEST_CASE("a member started with a lower incarnation than its peers know raises it above theirs")
{
    simulated_fleet f{9, 3, 0, 29};
    f.run(seconds{5});
    f.start(name_of(7), 500); // the machine's clock went back
    f.run(seconds{4});
    CHECK(f.tables.at(name_of(7))->self().incarnation == 1001);
    CHECK(f.tables.at(name_of(0))->find(name_of(7))->incarnation == 1001);
}

// Probes of a process that was restarted under another id reached the new process, which closed the
// connection: 100 connections per second in a fleet of 6 whose machines were restarted in turn.
TEST_CASE("a process is considered dead as soon as a later one has its address")
{
    simulated_fleet f{5, 3, 0, 37};
    f.run(seconds{2});
    f.kill(name_of(4));
    member next;
    next.id = "entry-9";
    next.incarnation = 5000;
    next.peer_address = address_of(name_of(4));
    next.failure_domain = f.domain_of(name_of(4));
    f.listed.insert(next.id);
    f.tables[next.id] = std::make_unique<member_table>(next, membership_config{}, 41, f.now());
    f.tables[next.id]->apply_list(f.list(), f.now());
    f.run(milliseconds{500});
    CHECK(f.count_status(name_of(4), member_status::dead) == 4);
    CHECK(f.is_excluded_everywhere(name_of(4)));
    CHECK(f.count_status(next.id, member_status::alive) == 5);
}

// After all 72 instances of a fleet were killed at once, 50 of them owned the pools for a
// while: the list still contained the previous processes, and probes of these could not succeed.
TEST_CASE("of two listed processes with the same address only the later one is counted and probed")
{
    const auto now = almondline::manual_clock{}.now();
    member self;
    self.id = "self";
    self.incarnation = 100;
    self.peer_address = "10.0.0.1:1";
    member_table table{self, {}, 1, now};
    const auto listed = [](const std::string& id, const std::string& address, std::int64_t at) {
        almondline::listed_instance it;
        it.id = id;
        it.role = almondline::instance_role::entry;
        it.peer_address = address;
        it.incarnation = at;
        return it;
    };
    table.apply_list({listed("self", "10.0.0.1:1", 100), listed("before-self", "10.0.0.1:1", 50),
                      listed("before", "10.0.0.2:1", 60), listed("after", "10.0.0.2:1", 101)},
                     now);
    CHECK(table.listed_count() == 1);
    CHECK(table.listed_alive_count() == 0);
    for (const auto& it : table.tick(now)) {
        CHECK(it.to == "after");
    }
}

TEST_CASE("a message that does not start with its sender's record is ignored")
{
    simulated_fleet f{3, 3, 0, 31};
    f.run(seconds{2});
    auto& table = *f.tables.at(name_of(0));
    member claim = *table.find(name_of(1));
    claim.status = member_status::dead;
    CHECK(table.receive(name_of(2), {false, 5, {claim}, {}}, f.now()).empty());
    CHECK(table.receive(name_of(2), {false, 5, {}, {}}, f.now()).empty());
    const std::vector<member> many(1000, *table.find(name_of(2)));
    CHECK(table.receive(name_of(2), {false, 5, many, {}}, f.now()).empty());
    CHECK(table.find(name_of(1))->status == member_status::alive);
}
