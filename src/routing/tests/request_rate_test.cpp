#include "routing/request_rate.h"
#include "routing/routing.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::routing;
using namespace std::chrono_literals;

namespace {

const steady_time start{1h};

replica_table make_table()
{
    replica_table table;
    replica_spec spec;
    spec.id = "a";
    spec.address = "10.0.0.1:80";
    spec.max_in_flight = 4;
    update_replica(table, spec, start);
    return table;
}

request_shape make_request(const std::string& id)
{
    request_shape request;
    request.request_id = id;
    return request;
}

/// Dispatches requests every 10 ms while the replica may be chosen. Returns their number.
int dispatch_for(replica_table& table, std::chrono::milliseconds time)
{
    int n = 0;
    for (auto now = start; now < start + time; now += 10ms) {
        const auto request = make_request("r" + std::to_string(n));
        if (choose(table, request, now)) {
            on_dispatch(table, "a", request, now);
            on_cancel(table, "a", request.request_id, now);
            ++n;
        }
    }
    return n;
}

} // namespace

TEST_CASE("a rate ends only with a response to a request that was sent after it was advertised")
{
    struct row {
        const char* name;
        steady_time sent;
        bool is_ended;
    };
    const row rows[] = {
        {"request sent before, response late", start - 1ms, false},
        {"request sent after", start + 1ms, true},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        std::optional<advertised_rate> rate;
        CHECK(update_rate(rate, 4.6, start - 1s, start));
        CHECK(update_rate(rate, std::nullopt, it.sent, start + 2s) == it.is_ended);
        CHECK(rate.has_value() != it.is_ended);
    }
}

TEST_CASE("update_rate reports changes only")
{
    std::optional<advertised_rate> rate;
    CHECK_FALSE(update_rate(rate, std::nullopt, start, start));
    CHECK(update_rate(rate, 2.0, start, start));
    CHECK_FALSE(update_rate(rate, 2.0, start, start + 1s));
    CHECK(rate->advertised_at == start + 1s);
    CHECK(update_rate(rate, 3.0, start, start + 1s));
}

TEST_CASE("a replica gets as many requests as the rate that it advertises")
{
    struct row {
        const char* name;
        double rate;
        double share;
        int least;
        int most;
    };
    const row rows[] = {
        {"fraction", 2.5, 1, 24, 26},
        {"many", 40, 1, 395, 405},
        {"half of it may be granted elsewhere", 5, 0.5, 24, 26},
        {"none, so that a response shows when it accepts more", 0, 1, 1, 2},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        auto table = make_table();
        table.rate_share = it.share;
        on_advertised_rate(table, "a", it.rate, start, start);
        const int n = dispatch_for(table, 10s);
        CHECK(n >= it.least);
        CHECK(n <= it.most);
    }
}

TEST_CASE("a credit that was not used does not count against the rate, a cancelled request does")
{
    struct row {
        const char* name;
        void (*end)(replica_table&, const std::string&, const std::string&, steady_time);
        bool is_free;
    };
    const row rows[] = {{"not dispatched", on_not_dispatched, true},
                        {"cancelled", on_cancel, false}};
    for (const auto& it : rows) {
        CAPTURE(it.name);
        auto table = make_table();
        on_advertised_rate(table, "a", 1, start, start);
        const auto now = start + 1s;
        on_dispatch(table, "a", make_request("1"), now);
        CHECK_FALSE(choose(table, make_request("2"), now));
        it.end(table, "a", "1", now);
        CHECK(choose(table, make_request("2"), now).has_value() == it.is_free);
    }
}

TEST_CASE("a replica whose rate is used up still counts as a slot")
{
    // With no slot at all, the granter would refuse every request because no server is usable.
    auto table = make_table();
    on_advertised_rate(table, "a", 2, start, start);
    const auto slots = count_slots(table, start);
    CHECK(slots.total == 1);
    CHECK(slots.free == 0);
    CHECK(slots.rate_limited_total == 1);
    CHECK(slots.rate_limited_slots == 4);
    CHECK(slots.rate_limit == 2);
}

TEST_CASE("a failed replica that advertises a rate is not probed beyond it")
{
    auto table = make_table();
    on_dispatch(table, "a", make_request("1"), start);
    on_unreachable(table, "a", "1", start);
    on_advertised_rate(table, "a", 0.25, start, start);
    CHECK_FALSE(choose(table, make_request("2"), start + 3s));
    CHECK(count_slots(table, start + 3s).free == 0);
    CHECK(choose(table, make_request("2"), start + 5s));
}

TEST_CASE("a new process with the id of a replica has no rate")
{
    auto table = make_table();
    on_advertised_rate(table, "a", 1, start, start);
    replica_spec spec = table.replicas.front().spec;
    spec.address = "10.0.0.2:80";
    update_replica(table, spec, start);
    CHECK_FALSE(is_rate_limited(table, "a"));
}

TEST_CASE("a remembered rate does not replace what the granter learned later")
{
    auto table = make_table();
    CHECK(restore_rate(table, "a", {2, start}, start + 1s));
    CHECK(on_advertised_rate(table, "a", std::nullopt, start + 2s, start + 3s));
    CHECK_FALSE(restore_rate(table, "a", {2, start}, start + 4s));
    CHECK_FALSE(is_rate_limited(table, "a"));
    CHECK(restore_rate(table, "a", {2, start + 4s}, start + 5s));
}
