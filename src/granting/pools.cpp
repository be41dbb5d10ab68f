#include "granting/pools.h"

#include "common/log.h"
#include "routing/routing.h"
#include "scheduling/types/queue_config.h"

#include <algorithm>
#include <set>

namespace almondline::granting {

namespace {

const std::string common_pool = "all";

routing::replica_spec make_spec(const listed_instance& server, const service_policy& service,
                                const manifest& m)
{
    routing::replica_spec spec;
    spec.id = server.id;
    spec.address = server.address;
    spec.failure_domain = server.failure_domain;
    spec.engine_class = server.engine_class;
    spec.is_leaving = server.is_leaving;
    spec.max_in_flight = service.plain_max_in_flight;
    const int stated = server.max_in_flight;
    const auto* engine = find_engine_class(m, server.engine_class);
    if (service.type == service_type::model && engine != nullptr) {
        spec.prefill_rate = engine->prefill_tokens_per_second;
        spec.decode_rate = engine->decode_tokens_per_second;
        spec.kv_tokens = engine->kv_tokens;
        spec.max_in_flight = engine->max_in_flight;
    }
    if (stated > 0) {
        spec.max_in_flight = stated;
    }
    return spec;
}

} // namespace

pools::pools(std::string instance_id, const clock_source& clock, peer_sender& sender,
             decision_log& decisions, failure_domain_lookup lookup, pools_settings settings)
    : instance_id_{std::move(instance_id)}, settings_{std::move(settings)}, clock_{clock},
      sender_{sender}, decisions_{decisions}, lookup_{std::move(lookup)}
{
    allowances_.settings = settings_.allowances;
}

pool_granter pools::owner_of(const std::string& pool) const
{
    return pool_owner(settings_.has_common_owner ? common_pool : pool, members_, {});
}

granter* pools::find(const std::string& pool)
{
    const auto it = granters_.find(pool);
    return it == granters_.end() ? nullptr : it->second.get();
}

scheduling::queue_config pools::make_config(const service_policy& service) const
{
    auto config = scheduling::make_queue_config(*manifest_, service);
    config.yield_share = settings_.yield_share;
    return config;
}

void pools::create(const service_policy& service)
{
    granter_settings settings = settings_.granter;
    settings.instance_id = instance_id_;
    settings.pool = service.name;
    if (granters_.empty()) {
        allowances_.buckets.clear();
        update_allowances();
    }
    auto made = std::make_unique<granter>(settings, make_config(service), clock_, sender_,
                                          decisions_, lookup_, &allowances_);
    update_replicas(*made, service);
    granters_.emplace(service.name, std::move(made));
    log_event("granting", log_level::info, "pool-owned", {{"pool", service.name}});
}

void pools::update_ownership(const std::vector<membership::member>& members)
{
    members_ = members;
    if (manifest_ == nullptr) {
        return;
    }
    for (const auto& it : manifest_->services) {
        const bool is_owner = owner_of(it.name).instance_id == instance_id_;
        const bool has_granter = granters_.count(it.name) != 0;
        if (is_owner && !has_granter) {
            create(it);
        }
        if (!is_owner && has_granter) {
            granters_.erase(it.name);
            log_event("granting", log_level::info, "pool-given-up", {{"pool", it.name}});
        }
    }
}

void pools::update_allowances()
{
    const auto before = allowances_.buckets;
    scheduling::reconfigure(allowances_, manifest_->accounts, clock_.now());
    for (const auto& [account, bucket] : allowances_.buckets) {
        const auto known = before.find(account);
        const bool is_same = known != before.end() && known->second.rate == bucket.rate &&
                             known->second.capacity == bucket.capacity;
        if (!is_same) {
            log_event("granting", log_level::info, "allowance-changed",
                      {{"account", account},
                       {"tokens_per_s", bucket.rate},
                       {"capacity", bucket.capacity},
                       {"manifest", manifest_->version}});
        }
    }
}

void pools::apply_manifest(std::shared_ptr<const manifest> content)
{
    manifest_ = std::move(content);
    std::erase_if(granters_,
                  [&](const auto& it) { return find_service(*manifest_, it.first) == nullptr; });
    // An instance without pools fills its book when it gets the first one.
    if (!granters_.empty()) {
        update_allowances();
    }
    for (auto& [name, granter] : granters_) {
        const auto* service = find_service(*manifest_, name);
        granter->reconfigure(make_config(*service));
        update_replicas(*granter, *service);
    }
    update_ownership(members_);
}

void pools::update_replicas(granter& target, const service_policy& service)
{
    const auto now = clock_.now();
    auto& table = target.replicas();
    std::set<std::string> listed;
    for (const auto& it : backends_) {
        if (it.service != service.name) {
            continue;
        }
        listed.insert(it.id);
        routing::update_replica(table, make_spec(it, service, *manifest_), now);
    }
    std::vector<std::string> gone;
    for (const auto& [id, index] : table.index) {
        if (listed.count(id) == 0) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        routing::remove_replica(table, id);
    }
    target.tick(now);
}

void pools::apply_list(const std::vector<listed_instance>& instances)
{
    std::map<std::string, std::int64_t> incarnations;
    for (const auto& it : backends_) {
        incarnations[it.id] = it.incarnation;
    }
    for (const auto& it : instances) {
        const auto known = incarnations.find(it.id);
        if (known != incarnations.end() && known->second != it.incarnation) {
            forget_replica(it.id);
        }
    }
    backends_.clear();
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(backends_),
                 [](const listed_instance& it) { return it.role == instance_role::backend; });
    for (auto& [name, granter] : granters_) {
        update_replicas(*granter, *find_service(*manifest_, name));
    }
}

/// Another process has the id: nothing learned of the one before holds.
void pools::forget_replica(const std::string& id)
{
    for (auto& [name, granter] : granters_) {
        routing::remove_replica(granter->replicas(), id);
    }
}

void pools::set_allowance_share(double share)
{
    if (share != allowances_.share) {
        scheduling::set_share(allowances_, share, clock_.now());
    }
}

void pools::tick(steady_time now)
{
    for (auto& [name, granter] : granters_) {
        granter->tick(now);
    }
}

void pools::handle(const std::string& from, const wire::envelope& message)
{
    for (auto& [name, granter] : granters_) {
        granter->handle(from, message);
    }
}

void pools::forget_holder(const std::string& instance_id)
{
    for (auto& [name, granter] : granters_) {
        granter->forget_holder(instance_id);
    }
}

std::vector<listed_instance> pools::owned_engines() const
{
    std::vector<listed_instance> engines;
    for (const auto& it : backends_) {
        const bool is_owned = granters_.count(it.service) != 0;
        const auto* service = is_owned ? find_service(*manifest_, it.service) : nullptr;
        if (service != nullptr && service->type == service_type::model) {
            engines.push_back(it);
        }
    }
    return engines;
}

} // namespace almondline::granting
