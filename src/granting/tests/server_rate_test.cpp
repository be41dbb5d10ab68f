#include "granting/tests/granting_fixture.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::granting;

namespace {

constexpr double rate = 3; // requests per second
constexpr milliseconds window{4'000};
/// Requests that may reach a server in a window: its rate, half of that and 5 more.
constexpr std::size_t allowed = 23;

/// Instances that each submit short requests to two servers; the first advertises a rate.
struct loaded_cluster : cluster {
    loaded_cluster() : cluster{5}
    {
        start_granter("e1", 2, 4);
        server_reports["b1"].max_request_rate = rate;
    }

    void load_for(milliseconds time)
    {
        const std::string holders[] = {"e2", "e3", "e4"};
        for (const auto end = clock.now() + time; clock.now() < end; run_for(20ms)) {
            submit(holders[next % 3], "r" + std::to_string(next), 1, 100ms, 500ms);
            ++next;
        }
    }

    int next = 0;
};

bool is_report(const wire::envelope& message)
{
    return message.__isset.server_report;
}

} // namespace

TEST_CASE("requests of all holders together stay within the rate that a server advertises")
{
    loaded_cluster c;
    c.load_for(500ms);
    const auto from = c.clock.now();
    c.load_for(12s);
    CHECK(c.most_arrivals("b1", window, from) <= allowed);
    CHECK(c.most_arrivals("b1", window, from) >= rate * 4 - 2);
    CHECK(c.most_arrivals("b2", window, from) > 100);
}

TEST_CASE("the rate holds across a change of granter")
{
    struct row {
        const char* name;
        milliseconds until_takeover; ///< time from the failure to the takeover
    };
    const row rows[] = {{"immediate successor", 50ms}, {"after the failure detection", 2200ms}};
    for (const auto& it : rows) {
        CAPTURE(it.name);
        loaded_cluster c;
        c.load_for(500ms);
        const auto from = c.clock.now();
        c.load_for(4s);
        c.members["e1"]->is_running = false;
        c.load_for(it.until_takeover);
        c.start_granter("e5", 2, 4);
        c.owner = "e5";
        c.load_for(8s);
        CHECK(c.most_arrivals("b1", window, from) <= allowed);
    }
}

TEST_CASE("a granter that received no report learns the rate from the next holdings report")
{
    loaded_cluster c;
    c.rule = [](const auto&, const auto&, const auto& message) {
        return delivery{is_report(message) ? 0 : 1};
    };
    c.load_for(6s);
    const auto from = c.clock.now();
    c.load_for(8s);
    CHECK(c.most_arrivals("b1", window, from) <= allowed);
}

TEST_CASE("a server that no longer advertises a rate gets its usual share again")
{
    loaded_cluster c;
    c.load_for(4s);
    c.server_reports["b1"].max_request_rate.reset();
    c.load_for(2s);
    const auto from = c.clock.now();
    c.load_for(5s);
    CHECK(c.most_arrivals("b1", window, from) > 3 * allowed);
}

TEST_CASE("a late response to an earlier request does not end a rate that was advertised meanwhile")
{
    loaded_cluster c;
    c.load_for(1s);
    c.run_for(1s); // until no request waits
    c.server_reports["b1"].max_request_rate.reset();
    c.header_delay = 3s;
    const auto before = c.arrivals["b1"].size();
    for (int n = 0; c.arrivals["b1"].size() == before; ++n) {
        c.submit("e2", "late" + std::to_string(n), 1, 10s);
        c.run_for(100ms);
    }
    c.header_delay = 20ms;
    c.server_reports["b1"].max_request_rate = rate;
    const auto& table = c.members["e1"]->own_granter->replicas();
    bool is_always_limited = true;
    for (const auto end = c.clock.now() + 4s; c.clock.now() < end;) {
        c.load_for(20ms);
        is_always_limited = is_always_limited && routing::is_rate_limited(table, "b1");
    }
    CHECK(is_always_limited);
}

TEST_CASE("a server that reports in a long response that it leaves gets no request of any holder")
{
    // The granter used to learn it only when the response ended.
    cluster c{3};
    c.start_granter("e1", 2, 4);
    c.server_reports["b1"].is_leaving = true;
    for (int n = 0; n < 2; ++n) {
        c.submit("e2", "long" + std::to_string(n), 1, 10s);
    }
    c.run_for(500ms);
    REQUIRE(c.arrivals["b1"].size() == 1);
    for (int n = 0; n < 20; ++n) {
        c.submit("e3", "short" + std::to_string(n), 1, 50ms);
        c.run_for(100ms);
    }
    CHECK(c.arrivals["b1"].size() == 1);
}

TEST_CASE("the rate holds through lost messages and changes of granter")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        loaded_cluster c;
        std::mt19937 random{seed};
        c.rule = [&random](const auto&, const auto&, const auto&) {
            const bool is_lost = random() % 20 == 0;
            return delivery{is_lost ? 0 : 1, milliseconds{1 + random() % 20}};
        };
        c.load_for(500ms);
        const auto from = c.clock.now();
        for (int n = 0; n < 6; ++n) {
            c.load_for(milliseconds{500 + random() % 2'000});
            const std::string old = c.owner;
            c.owner = old == "e1" ? "e5" : "e1";
            c.start_granter(c.owner, 2, 4);
            // One holder learns of the new granter later, so both grant for a while.
            c.views["e2"] = old;
            c.load_for(300ms);
            c.views.clear();
            c.members[old]->own_granter.reset();
        }
        c.load_for(4s);
        CHECK(c.most_arrivals("b1", window, from) <= allowed);
    }
}
