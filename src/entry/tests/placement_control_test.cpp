#include "entry/internal/placement_control.h"
#include "entry/internal/placement_messages.h"
#include "entry/tests/fixture.h"
#include "peer/wire.h"
#include "routing/routing.h"
#include "store/tests/fake_key_value_store.h"

#include <boost/json/array.hpp>
#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::entry;
using namespace std::chrono_literals;

namespace {

struct recording_sender final : peer_sender {
    void send(const std::string& to, const wire::envelope& message) override
    {
        sent.emplace_back(to, message);
    }
    std::vector<std::pair<std::string, wire::envelope>> sent;
};

membership::member make_member(const std::string& id)
{
    membership::member it;
    it.id = id;
    it.incarnation = 1;
    return it;
}

struct fixture {
    fixture()
    {
        auto content = make_test_manifest();
        content.services[0].models = {"small", "large"};
        content.placements = {{"small", 10, 1, 2}, {"large", 10, 1, 2}};
        current = std::make_shared<const manifest>(content);
        settings.instance_id = "e1";
        owned_pools.update_ownership({make_member("e1")});
        owned_pools.apply_manifest(current);
        owned_pools.apply_list({engine("r1", 9001), engine("r2", 9002)});
        control.update_members({make_member("e1")});
        control.apply_manifest(current);
    }

    static listed_instance engine(const std::string& id, int port)
    {
        listed_instance it;
        it.id = id;
        it.role = instance_role::backend;
        it.service = "chat";
        it.engine_class = "fast";
        it.address = "127.0.0.1:" + std::to_string(port);
        return it;
    }

    void report(const std::string& id, std::vector<std::string> models)
    {
        routing::load_report it;
        it.models = std::move(models);
        routing::on_load_report(owned_pools.find("chat")->replicas(), id, it, clock.now());
    }

    void drain(std::int64_t fencing, std::vector<std::string> replicas)
    {
        wire::drain_notice notice;
        notice.pool = "chat";
        notice.fencing = fencing;
        notice.replicas = std::move(replicas);
        wire::envelope message;
        message.__set_drain(notice);
        CHECK(control.handle("e2", message, clock.now()));
    }

    std::vector<std::string> drained()
    {
        std::vector<std::string> ids;
        for (const auto& it : owned_pools.find("chat")->replicas().replicas) {
            if (it.is_present && routing::is_draining(it)) {
                ids.push_back(it.spec.id);
            }
        }
        return ids;
    }

    boost::asio::io_context io;
    manual_clock clock;
    fake_key_value_store store{clock};
    recording_sender sender;
    granting::decision_log decisions{clock};
    entry_settings settings = [] {
        entry_settings it;
        it.instance_id = "e1";
        return it;
    }();
    granting::pools owned_pools{"e1", clock, sender, decisions, {}};
    std::shared_ptr<const manifest> current;
    placement_control control{settings, clock, io.get_executor(), store, sender, owned_pools};
};

} // namespace

TEST_CASE("every instance chooses the same two live members as candidates for the placement lease")
{
    std::vector<membership::member> members(8);
    for (std::size_t n = 0; n < members.size(); ++n) {
        members[n] = make_member("e" + std::to_string(n));
    }
    const auto chosen = placement_candidates(members);
    REQUIRE(chosen.size() == 2);
    std::reverse(members.begin(), members.end());
    CHECK(placement_candidates(members) == chosen);
    // If one candidate leaves, the other remains a candidate.
    std::erase_if(members, [&](const auto& it) { return it.id == chosen[0]; });
    const auto next = placement_candidates(members);
    CHECK(next[0] == chosen[1]);
    CHECK(placement_candidates({make_member("e1")}).size() == 1);
    auto never_seen = make_member("e1");
    never_seen.incarnation = 0;
    CHECK(placement_candidates({never_seen}).empty());
}

// Guards against drain notices of a former lease holder, and against replicas that stay drained
// forever after the lease holder has died.
TEST_CASE("a granter follows the newest lease holder's drain notices until they expire")
{
    fixture f;
    f.drain(7, {"r1"});
    CHECK(f.drained() == std::vector<std::string>{"r1"});
    f.drain(6, {"r2"});
    CHECK(f.drained() == std::vector<std::string>{"r1"});
    f.drain(8, {"r2"});
    CHECK(f.drained() == std::vector<std::string>{"r2"});
    f.clock.advance(f.settings.placement_lease - 1ms);
    f.control.tick(f.clock.now());
    CHECK(f.drained().size() == 1);
    f.clock.advance(1ms);
    f.control.tick(f.clock.now());
    CHECK(f.drained().empty());
    f.drain(7, {"r1"}); // still older than the expired one
    CHECK(f.drained().empty());
}

TEST_CASE("the pool owner reports the demand and replicas of its pools to the candidates")
{
    fixture f;
    f.report("r1", {"small"});
    f.drain(7, {"r1"});
    f.sender.sent.clear();
    f.control.tick(f.clock.now());
    REQUIRE(f.sender.sent.size() == 1);
    CHECK(f.sender.sent[0].first == "e1");
    const auto input = read_pool_demand(f.sender.sent[0].second, f.current->placements);
    CHECK(input.pool == "chat");
    // r2 has reported no models, so it is not under placement.
    REQUIRE(input.replicas.size() == 1);
    CHECK(input.replicas[0].id == "r1");
    CHECK(input.replicas[0].model == "small");
    CHECK(input.replicas[0].is_draining);
    CHECK(input.replicas[0].in_flight == 1); // an earlier credit may still be used
}

TEST_CASE("without placements in the manifest, no message is sent and no lease acquired")
{
    fixture f;
    auto content = *f.current;
    content.placements.clear();
    f.control.apply_manifest(std::make_shared<const manifest>(content));
    f.sender.sent.clear();
    for (int n = 0; n < 100; ++n) {
        f.clock.advance(100ms);
        f.control.tick(f.clock.now());
        f.store.run();
    }
    CHECK(f.sender.sent.empty());
    CHECK(f.store.lease_count() == 0);
}

TEST_CASE("the demand message of many accounts is bounded in size and includes all work")
{
    fixture f;
    auto& granter = *f.owned_pools.find("chat");
    for (int n = 0; n < 100; ++n) {
        wire::ask_message ask;
        ask.request_id = "q" + std::to_string(n);
        ask.pool = "chat";
        ask.account = "account-" + std::to_string(n);
        ask.kind = "draft";
        ask.cost = 10;
        ask.deadline_ms = 60'000;
        ask.__set_model(n % 2 == 0 ? "small" : "large");
        wire::envelope message;
        message.__set_ask(ask);
        granter.handle("e2", message);
    }
    f.report("r1", {"small"});
    const auto message = make_pool_demand(granter);
    CHECK(message.demand.loads.size() < 40);
    const auto input = read_pool_demand(message, f.current->placements);
    REQUIRE(input.demand.size() == 2);
    // One replica runs 8 requests at once.
    CHECK(input.demand[0].load == doctest::Approx(50.0 / 8));
    CHECK(input.demand[1].load == doctest::Approx(50.0 / 8));
}
