#include "granting/pools.h"

#include "peer/wire.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondline::granting {

pools::pools(std::string instance_id, const clock_source& clock, peer_sender& sender,
             decision_log& decisions, failure_domain_lookup lookup, pools_settings settings)
    : instance_id_{std::move(instance_id)}, settings_{std::move(settings)}, clock_{clock},
      sender_{sender}, decisions_{decisions}, lookup_{std::move(lookup)}, loads_{settings_.balance,
                                                                                 {}},
      quarantines_{instance_id_,
                   clock,
                   sender,
                   [this](const std::string& service) { return owners_of_service(service); },
                   [this](const std::string& pool) { return service_of_own(pool); },
                   settings_.quarantines}
{
}

pool_owner_id pools::owner_of(const std::string& pool) const
{
    const auto it = owners_.find(pool);
    return it == owners_.end() ? pool_owner_id{} : it->second;
}

bool pools::exists(const std::string& pool) const
{
    const auto all = all_pools();
    return std::any_of(all.begin(), all.end(), [&](const auto& it) { return it.pool == pool; });
}

bool pools::has_owners() const
{
    return !owners_.empty();
}

std::vector<std::string> pools::other_owners() const
{
    std::vector<std::string> out;
    if (!is_divided() || !granters_.empty()) {
        return out;
    }
    for (const auto& [pool, owner] : owners_) {
        if (std::find(out.begin(), out.end(), owner.instance_id) == out.end()) {
            out.push_back(owner.instance_id);
        }
    }
    return out;
}

granter* pools::find(const std::string& pool)
{
    const auto it = granters_.find(pool);
    return it == granters_.end() ? nullptr : it->second.get();
}

void pools::update_ownership(const std::vector<membership::member>& members)
{
    members_ = members;
    std::vector<std::string> ids;
    std::transform(members.begin(), members.end(), std::back_inserter(ids),
                   [](const auto& it) { return it.id; });
    quarantines_.set_members(std::move(ids));
    assign_pools();
}

void pools::apply_manifest(std::shared_ptr<const manifest> content)
{
    manifest_ = std::move(content);
    allowance_rates_.clear();
    total_allowance_ = 0;
    for (const auto& it : manifest_->accounts) {
        allowance_rates_[it.name] = it.allowance_rate;
        total_allowance_ += it.allowance_rate;
    }
    divide_services();
    assign_pools();
    for (const auto& it : all_pools()) {
        if (auto* own = find(it.pool)) {
            update_allowances(it);
            own->reconfigure(make_config(*it.service->policy));
            update_replicas(*own, it);
        }
    }
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
            // A new process has the id: estimates for the previous process do not apply to it.
            drop_replica(it.id);
        }
    }
    backends_.clear();
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(backends_),
                 [](const listed_instance& it) { return it.role == instance_role::backend; });
    divide_services();
    assign_pools();
    for (const auto& it : all_pools()) {
        if (auto* own = find(it.pool)) {
            update_replicas(*own, it);
        }
    }
}

void pools::set_allowance_share(double share)
{
    allowance_share_ = share;
    for (auto& [pool, allowances] : allowance_tables_) {
        if (share != allowances.share) {
            scheduling::set_share(allowances, share, clock_.now());
        }
    }
    for (auto& [pool, granter] : granters_) {
        granter->replicas().rate_share = share;
    }
}

void pools::tick(steady_time now)
{
    for (auto& [name, granter] : granters_) {
        granter->tick(now);
    }
    quarantines_.tick(now);
}

void pools::handle(const std::string& from, const wire::envelope& message)
{
    if (quarantines_.handle(message)) {
        return;
    }
    note_load(from, message);
    for (auto& [name, granter] : granters_) {
        granter->handle(from, message);
    }
}

void pools::remove_holder(const std::string& instance_id)
{
    for (auto& [name, granter] : granters_) {
        granter->remove_holder(instance_id);
    }
}

std::string pools::service_of_own(const std::string& pool) const
{
    const auto all = all_pools();
    const auto it = std::find_if(all.begin(), all.end(), [&](const auto& slice) {
        return slice.pool == pool && granters_.count(pool) != 0;
    });
    return it == all.end() ? std::string{} : it->service->policy->name;
}

std::vector<std::string> pools::owners_of_service(const std::string& service) const
{
    std::set<std::string> out;
    for (const auto& it : all_pools()) {
        const auto owner = owner_of(it.pool).instance_id;
        if (it.service->policy->name == service && !owner.empty()) {
            out.insert(owner);
        }
    }
    return {out.begin(), out.end()};
}

std::optional<quarantine_hold> pools::quarantine_wait(const std::string& service,
                                                      const fingerprints& ids) const
{
    const auto* table = quarantines_.find_table(service);
    return table == nullptr ? std::nullopt : granting::quarantine_wait(*table, ids, clock_.now());
}

std::vector<listed_instance> pools::owned_engines() const
{
    std::set<std::string> owned;
    for (const auto& it : all_pools()) {
        const bool is_model = it.service->policy->type == service_type::model;
        if (is_model && granters_.count(it.pool) != 0) {
            const auto& ids = it.service->slices[it.index];
            owned.insert(ids.begin(), ids.end());
        }
    }
    std::vector<listed_instance> engines;
    std::copy_if(backends_.begin(), backends_.end(), std::back_inserter(engines),
                 [&](const auto& it) { return owned.count(it.id) != 0; });
    return engines;
}

} // namespace almondline::granting
