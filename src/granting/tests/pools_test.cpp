#include "granting/pools.h"

#include "peer/peer_sender.h"
#include "peer/wire.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

using namespace almondline;
using namespace almondline::granting;
using namespace std::chrono_literals;

namespace {

class no_peers final : public peer_sender {
public:
    void send(const std::string&, const wire::envelope&) override {}
};

constexpr double large_allowance = 90'000;
constexpr double small_allowance = 10'000;

std::shared_ptr<const manifest> make_manifest()
{
    auto out = std::make_shared<manifest>();
    service_policy chat;
    chat.name = "chat";
    chat.type = service_type::model;
    service_policy desk;
    desk.name = "desk";
    desk.type = service_type::plain;
    out->services = {chat, desk};
    out->tiers = {{"only", 0}};
    for (const auto& [name, rate] :
         {std::pair{"large", large_allowance}, std::pair{"small", small_allowance}}) {
        account_policy account;
        account.name = name;
        account.allowance_rate = rate;
        out->accounts.push_back(account);
    }
    return out;
}

std::vector<listed_instance> servers(int models)
{
    std::vector<listed_instance> out;
    for (int i = 0; i < models + 3; ++i) {
        listed_instance it;
        it.role = instance_role::backend;
        it.service = i < models ? "chat" : "desk";
        it.id = it.service + std::to_string(i);
        it.address = "127.0.0.1:" + std::to_string(1000 + i);
        it.incarnation = 1;
        it.max_in_flight = 4;
        out.push_back(it);
    }
    return out;
}

std::vector<membership::member> members(int count)
{
    std::vector<membership::member> out;
    for (int i = 0; i < count; ++i) {
        membership::member it;
        it.id = "e" + std::to_string(i);
        it.incarnation = 1;
        it.cores = 0.5;
        out.push_back(it);
    }
    return out;
}

scheduling::credit_request request(const std::string& id, const std::string& account)
{
    scheduling::credit_request out;
    out.request_id = id;
    out.account = account;
    return out;
}

/// Several instances, each with its pools object.
struct fixture {
    explicit fixture(int instances)
    {
        set_log_level("granting", log_level::error);
        pools_settings settings;
        settings.has_common_owner = true;
        settings.slices = {16, 6};
        for (const auto& it : members(instances)) {
            all.push_back(std::make_unique<pools>(it.id, clock, peers, decisions,
                                                  failure_domain_lookup{}, settings));
            all.back()->apply_manifest(make_manifest());
            all.back()->update_ownership(members(instances));
        }
    }

    void apply(const std::vector<listed_instance>& list)
    {
        for (auto& it : all) {
            it->apply_list(list);
        }
    }

    /// Returns the pool that grants the slots of each server. Fails if two granters have the same
    /// server.
    std::map<std::string, std::string> granted() const
    {
        std::map<std::string, std::string> out;
        for (const auto& each : all) {
            for (const auto& [pool, granter] : each->granters()) {
                for (const auto& [id, index] : granter->replicas().index) {
                    CHECK(out.emplace(id, pool).second);
                }
            }
        }
        return out;
    }

    manual_clock clock;
    no_peers peers;
    decision_log decisions{clock, 10};
    std::vector<std::unique_ptr<pools>> all;
};

} // namespace

// A server with two granters would get twice as many requests as it has slots, and one without a
// granter none.
TEST_CASE("each server has exactly one granter, whatever the number of servers")
{
    fixture f{5};
    for (const int models : {12, 60, 61, 130, 40, 20}) {
        const auto list = servers(models);
        f.apply(list);
        CHECK(f.granted().size() == list.size());
    }
}

// Guards against a single owner of all pools, which cannot grant fast enough for hundreds of
// servers.
TEST_CASE("a large service is divided among several instances")
{
    fixture f{5};
    f.apply(servers(64));
    int owners = 0;
    for (const auto& it : f.all) {
        CHECK(it->granters().size() <= 2);
        owners += it->granters().empty() ? 0 : 1;
    }
    CHECK(owners >= 3);
}

TEST_CASE("allowances of a small fleet are counted by one instance")
{
    fixture f{5};
    f.apply(servers(18));
    for (const auto& it : f.all) {
        CHECK((it->granters().empty() || it->granters().size() == 2));
    }
}

// Guards against requests that go to a slice without a part of their account's allowance.
TEST_CASE("all instances send an account's requests to the same slices, which have owners")
{
    fixture f{5};
    f.apply(servers(64));
    for (const auto* account : {"large", "small"}) {
        std::set<std::string> used;
        for (int i = 0; i < 200; ++i) {
            const auto wanted = request("r" + std::to_string(i), account);
            const auto first = f.all.front()->choose_pool("chat", wanted, {});
            CHECK(first == f.all.back()->choose_pool("chat", wanted, {}));
            const auto second = f.all.front()->choose_pool("chat", wanted, {{first, "shed"}});
            CHECK(second != first);
            for (const auto& it : {first, second}) {
                CHECK_FALSE(f.all.front()->owner_of(it).instance_id.empty());
                used.insert(it);
            }
        }
        CHECK(used.size() == (std::string{account} == "large" ? 4 : 2));
    }
    const auto other = request("r", "large");
    CHECK(f.all.front()->choose_pool("desk", other, {}) == "desk");
    CHECK(f.all.front()->choose_pool("desk", other, {{"desk", "shed"}}).empty());
}

// Requests that wait in a pool under its former name would not be answered before their deadline.
TEST_CASE("dividing a service ends its single pool, and removing it ends all of its pools")
{
    fixture f{5};
    auto& any = *f.all.front();
    f.apply(servers(12));
    CHECK(any.exists("chat"));
    f.apply(servers(64));
    CHECK_FALSE(any.exists("chat"));
    const auto slice = any.choose_pool("chat", request("r", "large"), {});
    CHECK(any.exists(slice));
    auto content = std::make_shared<manifest>(*make_manifest());
    content->services.erase(content->services.begin());
    any.apply_manifest(content);
    CHECK_FALSE(any.exists(slice));
    CHECK(any.exists("desk"));
}
