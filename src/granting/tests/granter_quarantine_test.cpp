#include "granting/credit_client.h"
#include "granting/granter.h"
#include "granting/message_router.h"
#include "granting/quarantine.h"
#include "peer/wire.h"
#include "routing/routing.h"

#include <doctest/doctest.h>

#include <string>

using namespace almondline;
using namespace almondline::granting;
using namespace std::chrono_literals;

namespace {

constexpr fingerprint shared = 1;
constexpr fingerprint deadly = 7;

struct no_peers final : peer_sender {
    void send(const std::string& /*instance_id*/, const wire::envelope& /*message*/) override {}
};

granter_settings make_settings()
{
    granter_settings out;
    out.instance_id = "e1";
    out.pool = "p";
    return out;
}

scheduling::queue_config make_config()
{
    scheduling::queue_config out;
    out.tiers = {{"normal", 0}};
    return out;
}

/// One instance that grants and holds the credits of a pool, with the quarantine of its service.
struct fixture {
    fixture()
    {
        router.set_local_handler([this](const std::string& from, const wire::envelope& it) {
            own_granter.handle(from, it);
            client.handle(from, it);
        });
        routing::replica_spec spec;
        spec.id = "b1";
        spec.address = "127.0.0.1:9001";
        spec.max_in_flight = 8;
        routing::update_replica(own_granter.replicas(), spec, clock.now());
        clock.advance(1s);
    }

    /// Returns the credit, or nothing if the request is refused.
    std::optional<credit> request(const std::string& id, const fingerprints& ids)
    {
        scheduling::credit_request out;
        out.request_id = id;
        out.account = "a1";
        out.deadline = clock.now() + 60s;
        out.fingerprints = ids;
        std::optional<credit> granted;
        client.request_credit("p", out, [&](const credit_result& it) { granted = it.granted; });
        own_granter.tick(clock.now());
        return granted;
    }

    /// Servers crash while requests with the deadly and the shared fingerprint run on them.
    void quarantine_both()
    {
        for (int n = 0; n < 3; ++n) {
            note_crash(table, {"c" + std::to_string(n), {shared, deadly}}, clock.now());
        }
        clock.advance(table.settings.settle_time);
        REQUIRE(judge(table, clock.now()).size() == 2);
    }

    manual_clock clock;
    no_peers peers;
    message_router router{"e1", peers};
    decision_log decisions{clock, 100};
    quarantine_table table;
    granter own_granter{make_settings(), make_config(), clock, router, decisions, {},
                        nullptr,         &table};
    credit_client client{{.instance_id = "e1"},
                         clock,
                         router,
                         [](const std::string&) {
                             return pool_owner_id{"e1", 1};
                         },
                         decisions};
};

} // namespace

// Requests with a sound part were refused for as long as one of their streams lasts.
TEST_CASE("the quarantine of a sound part ends when the response of its trial has begun")
{
    fixture f;
    f.quarantine_both();
    const auto trial = f.request("r1", {shared});
    REQUIRE(trial);
    CHECK(trial->is_start_awaited);
    CHECK(!f.request("r2", {shared}));
    REQUIRE(f.client.confirm("r1"));
    f.client.report_start("r1");
    CHECK(f.request("r3", {shared}));
    CHECK(!f.request("r4", {shared, deadly}));
}

TEST_CASE("the start of a response is awaited only from requests that are suspected")
{
    fixture f;
    REQUIRE(f.request("r1", {shared}));
    CHECK(!f.request("r2", {shared})->is_start_awaited);
    note_crash(f.table, {"c1", {shared, deadly}}, f.clock.now());
    CHECK(f.request("r3", {shared, 20})->is_start_awaited);
    CHECK(!f.request("r4", {20})->is_start_awaited);
    f.client.report_start("r3");
    CHECK(!f.request("r5", {shared})->is_start_awaited);
}
