#include "entry/internal/status_report.h"

#include "routing/routing.h"
#include "scheduling/queue.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace almondline::entry {

namespace json = boost::json;

namespace {

json::object describe_member(const membership::member& member)
{
    return {{"id", member.id},
            {"status", membership::to_string(member.status)},
            {"incarnation", member.incarnation},
            {"failure_domain", member.failure_domain},
            {"address", member.caller_address},
            {"manifest_version", member.manifest_version}};
}

json::object describe_replica(const routing::replica& replica)
{
    return {{"id", replica.spec.id},
            {"address", replica.spec.address},
            {"engine_class", replica.spec.engine_class},
            {"health", replica.health == routing::replica_health::healthy ? "healthy" : "eased"},
            {"leaving", replica.is_leaving},
            {"draining", routing::is_draining(replica)},
            {"models", json::array(replica.models.begin(), replica.models.end())},
            {"in_flight", replica.in_flight},
            {"max_in_flight", replica.spec.max_in_flight},
            {"prefill_tokens_per_second", replica.prefill_rate},
            {"decode_tokens_per_second", replica.decode_rate},
            {"kv_tokens_used", replica.kv_tokens_used}};
}

json::object describe_pool(const std::string& name, granting::granter& granter)
{
    const auto queue = scheduling::status(granter.queue());
    json::array tiers;
    for (const auto& it : queue.tiers) {
        tiers.push_back(json::object{{"tier", it.name},
                                     {"waiting", it.waiting},
                                     {"in_progress", it.in_progress},
                                     {"reserved_slots", it.reserved_slots}});
    }
    json::array accounts;
    for (const auto& [account, state] : granter.queue().accounts) {
        accounts.push_back(json::object{
            {"account", account}, {"waiting", state.waiting}, {"in_progress", state.in_progress}});
    }
    json::array replicas;
    for (const auto& it : granter.replicas().replicas) {
        if (it.is_present) {
            replicas.push_back(describe_replica(it));
        }
    }
    const auto& counters = granter.counters();
    return {{"pool", name},
            {"waiting", queue.waiting},
            {"in_progress", queue.in_progress},
            {"grants", counters.grants},
            {"sheds", counters.sheds},
            {"refusals", counters.refusals},
            {"expired_credits", counters.expired_credits},
            {"tiers", std::move(tiers)},
            {"accounts", std::move(accounts)},
            {"replicas", std::move(replicas)}};
}

json::object describe_store(const status_sources& sources)
{
    const auto& calls = sources.store_calls;
    return {{"watching", sources.is_watcher},
            {"reads", calls.gets + calls.watches},
            {"writes", calls.puts + calls.lease_calls},
            {"failed", calls.failed},
            {"held_back", calls.throttled},
            {"lost_answers", calls.lost_answers}};
}

} // namespace

std::string make_status_report(const status_sources& sources)
{
    json::array members;
    for (const auto& it : sources.members.all_members()) {
        members.push_back(describe_member(it));
    }
    json::array pools;
    for (const auto& [name, granter] : sources.owned_pools.granters()) {
        pools.push_back(describe_pool(name, *granter));
    }
    const auto& self = sources.members.self();
    const json::object report{
        {"instance", self.id},
        {"incarnation", self.incarnation},
        {"failure_domain", self.failure_domain},
        {"draining", sources.is_draining},
        {"manifest", json::object{{"name", sources.manifest_name},
                                  {"version", sources.manifest_version},
                                  {"digest", sources.manifest_digest}}},
        {"store", describe_store(sources)},
        {"requests", json::object{{"waiting", sources.credit_client.waiting_count()},
                                  {"dispatched", sources.credit_client.held_count()}}},
        {"members", std::move(members)},
        {"placement", sources.placement},
        {"pools", std::move(pools)}};
    return json::serialize(report);
}

} // namespace almondline::entry
