#include "granting/tests/granting_fixture.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::granting;
using peer::envelope_kind;

TEST_CASE("lost, duplicated or late messages cause delays or occupy a slot, but lose no request")
{
    struct row {
        const char* name;
        envelope_kind kind;
        delivery fault;
        milliseconds all_granted_by;
        std::size_t max_running; ///< with two slots
        std::uint64_t granter_counters::*counted;
    };
    const auto lost = delivery{0, 0ms};
    const auto twice = delivery{2, 1ms};
    const auto late = delivery{1, 3000ms};
    const row rows[] = {
        {"no fault", envelope_kind::none, {}, 1400ms, 2, nullptr},
        {"credit request lost", envelope_kind::ask, lost, 2100ms, 2, nullptr},
        {"credit request duplicated", envelope_kind::ask, twice, 1400ms, 2, nullptr},
        {"credit request late", envelope_kind::ask, late, 2100ms, 2, nullptr},
        {"grant lost", envelope_kind::grant, lost, 2500ms, 2, &granter_counters::repeated_grants},
        {"grant duplicated", envelope_kind::grant, twice, 1400ms, 2, nullptr},
        {"grant late", envelope_kind::grant, late, 2500ms, 2, &granter_counters::repeated_grants},
        {"confirmation lost", envelope_kind::confirmation, lost, 1400ms, 2, nullptr},
        {"release lost", envelope_kind::release, lost, 8000ms, 2, &granter_counters::lost_releases},
        {"release duplicated", envelope_kind::release, twice, 1400ms, 2, nullptr},
        {"release late", envelope_kind::release, late, 5000ms, 2, nullptr},
        {"holdings lost", envelope_kind::holdings, lost, 1400ms, 2, nullptr},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        cluster c{3};
        auto& granter = c.start_granter("e1", 2, 1);
        int faults = 0;
        c.rule = [&](const std::string&, const std::string&, const wire::envelope& message) {
            const bool is_hit = peer::kind_of(message) == it.kind && faults < 2;
            faults += is_hit ? 1 : 0;
            return is_hit ? it.fault : delivery{};
        };
        for (const auto* id : {"r1", "r2", "r3", "r4"}) {
            c.submit(id[1] % 2 == 0 ? "e2" : "e3", id);
        }
        c.run_for(30s);
        for (const auto& entry : c.records) {
            CAPTURE(entry.first);
            const auto& record = entry.second;
            CHECK(record.answers == 1);
            CHECK(record.dispatches == 1);
            CHECK(record.answered_at <= it.all_granted_by);
        }
        CHECK(c.peak <= it.max_running);
        CHECK(granter.credit_count() == 0);
        CHECK(scheduling::status(granter.queue()).in_progress == 0);
        CHECK((it.kind == envelope_kind::none || faults == 2));
        if (it.counted != nullptr) {
            CHECK(granter.counters().*it.counted > 0);
        }
    }
}

TEST_CASE("credits that are neither used nor reported return to the pool")
{
    cluster c{3};
    auto& granter = c.start_granter("e1", 1, 1);
    SUBCASE("a grant that is not confirmed expires after 2 s")
    {
        c.is_dispatching = false;
        c.submit("e2", "r1");
        c.run_for(310ms);
        REQUIRE(granter.credit_count() == 1);
        c.run_for(1950ms);
        CHECK(granter.credit_count() == 1);
        c.run_for(100ms);
        CHECK(granter.credit_count() == 0);
        CHECK(granter.counters().expired_credits == 1);
        CHECK(scheduling::status(granter.queue()).in_progress == 0);
        CHECK_FALSE(c.members["e2"]->own_credit_client.confirm("r1"));
    }
    SUBCASE("the credits of a holder that has died are released")
    {
        c.submit("e2", "r1", 1, 60s);
        c.run_for(500ms);
        c.submit("e3", "r2", 1, 1s);
        c.members["e2"]->is_running = false;
        c.run_for(16s);
        CHECK(granter.counters().unresponsive_holders == 1);
        CHECK(c.records["r2"].code == "granted");
    }
}

TEST_CASE("an expired credit counts again when its confirmation arrives late")
{
    cluster c{2};
    auto& granter = c.start_granter("e1", 1, 1);
    c.rule = [](const std::string&, const std::string&, const wire::envelope& message) {
        return delivery{1, message.__isset.confirmation ? 3000ms : 1ms};
    };
    c.submit("e2", "r1", 1, 4500ms);
    c.run_for(3s);
    CHECK(granter.counters().expired_credits == 1);
    CHECK(granter.credit_count() == 0);
    c.run_for(1s);
    CHECK(granter.counters().late_confirmations == 1);
    CHECK(granter.credit_count() == 1);
    c.run_for(2s);
    CHECK(granter.credit_count() == 0);
}

TEST_CASE("a cancellation that crosses a grant frees the slot, and no handler is called")
{
    cluster c{3};
    auto& granter = c.start_granter("e1", 1, 1);
    c.run_for(400ms);
    c.rule = [](const std::string&, const std::string&, const wire::envelope& message) {
        return delivery{1, message.__isset.grant ? 100ms : 1ms};
    };
    c.submit("e2", "r1");
    c.run_for(50ms);
    REQUIRE(granter.credit_count() == 1);
    c.submit("e3", "r2");
    CHECK(c.members["e2"]->own_credit_client.cancel("r1"));
    CHECK_FALSE(c.members["e2"]->own_credit_client.cancel("r1"));
    c.run_for(30ms);
    // The cancel message alone frees the slot, before the grant arrives and is released.
    CHECK(granter.counters().grants == 2);
    c.run_for(270ms);
    CHECK(c.records["r1"].answers == 0);
    CHECK(c.records["r2"].code == "granted");
    CHECK(c.members["e2"]->own_credit_client.counters().surplus_grants == 1);
}

TEST_CASE("a credit request without an answer is refused at its deadline")
{
    cluster c{2};
    c.submit("e2", "r1", 1, 1s, 5s);
    c.run_for(4990ms);
    CHECK(c.records["r1"].answers == 0);
    c.run_for(20ms);
    CHECK(c.records["r1"].code == code_deadline_passed);
    CHECK(c.members["e2"]->own_credit_client.waiting_count() == 0);
    CHECK(c.members["e2"]->own_credit_client.counters().resent_credit_requests == 2);
}

TEST_CASE("credits of a local granter need no network messages")
{
    cluster c{1};
    c.start_granter("e1", 1, 2);
    c.run_for(400ms);
    c.submit("e1", "r1");
    CHECK(c.records["r1"].dispatches == 1);
    CHECK(c.packets.empty());
    c.submit("e1", "r2");
    c.submit("e1", "r3");
    c.run_for(3s);
    CHECK(c.count("granted") == 3);
    CHECK(c.peak == 2);
}
