#include "granting/internal/pool_names.h"
#include "granting/pools.h"

#include "common/log.h"

#include <algorithm>
#include <utility>

/// The slices of the services, their owners, and the granters of the own pools.
namespace almondline::granting {

namespace {

/// Granting work of a pool of a plain service, relative to one of a model service. Plain requests
/// are shorter, so their dispatch slots are granted more often.
constexpr double plain_slice_work = 6;
} // namespace

std::vector<pools::pool_slice> pools::all_pools() const
{
    std::vector<pool_slice> out;
    for (const auto& [name, service] : services_) {
        const auto count = service.slices.size();
        for (std::size_t i = 0; i < count; ++i) {
            out.push_back({slice_name(name, i, count), &service, i});
        }
    }
    return out;
}

void pools::divide_services()
{
    services_.clear();
    if (manifest_ == nullptr) {
        return;
    }
    for (const auto& service : manifest_->services) {
        std::vector<std::string> ids;
        for (const auto& it : backends_) {
            if (it.service == service.name) {
                ids.push_back(it.id);
            }
        }
        const bool is_model = service.type == service_type::model;
        const auto& limits = settings_.slices;
        const auto slices =
            slice_count(ids.size(), is_model ? limits.model_servers : limits.plain_servers);
        services_[service.name] = {&service, divide_servers(std::move(ids), slices)};
    }
}

bool pools::is_divided() const
{
    return std::any_of(services_.begin(), services_.end(),
                       [](const auto& it) { return it.second.slices.size() > 1; });
}

std::map<std::string, pool_owner_id> pools::choose_owners() const
{
    std::vector<pool_load> loads;
    for (const auto& it : all_pools()) {
        const bool is_plain = it.service->policy->type == service_type::plain;
        loads.push_back({it.pool, is_plain ? plain_slice_work : 1});
    }
    if (is_divided()) {
        return assign_owners(std::move(loads), members_);
    }
    std::map<std::string, pool_owner_id> out;
    for (const auto& it : loads) {
        auto owner =
            choose_pool_owner(settings_.has_common_owner ? common_pool : it.pool, members_, {});
        if (!owner.instance_id.empty()) {
            out[it.pool] = std::move(owner);
        }
    }
    return out;
}

void pools::assign_pools()
{
    const auto before = std::exchange(owners_, choose_owners());
    for (const auto& [pool, owner] : before) {
        if (owner_of(pool) != owner) {
            balance::forget_load(loads_, pool);
        }
    }
    // While any service is divided, each pool has its own allowance table instead of the common
    // one, so the granters have to be replaced when that changes.
    const bool is_table_scope_changed =
        std::exchange(has_table_per_pool_, is_divided()) != is_divided();
    std::vector<std::string> ended;
    for (const auto& [pool, granter] : granters_) {
        if (is_table_scope_changed || owner_of(pool).instance_id != instance_id_) {
            ended.push_back(pool);
        }
    }
    for (const auto& it : ended) {
        end_granter(it);
    }
    for (const auto& it : all_pools()) {
        if (owner_of(it.pool).instance_id == instance_id_ && granters_.count(it.pool) == 0) {
            create_granter(it);
        }
    }
}

void pools::create_granter(const pool_slice& slice)
{
    granter_settings settings = settings_.granter;
    settings.instance_id = instance_id_;
    settings.pool = slice.pool;
    settings.reports_load = slice.service->slices.size() > 1;
    auto created = std::make_unique<granter>(
        settings, make_config(*slice.service->policy), clock_, sender_, decisions_, lookup_,
        &allowances_of(slice.pool), &quarantines_.table_of(slice.service->policy->name));
    created->replicas().rate_share = allowance_share_;
    update_allowances(slice);
    update_replicas(*created, slice);
    granters_.emplace(slice.pool, std::move(created));
    log_event("granting", log_level::info, "pool-owned", {{"pool", slice.pool}});
}

void pools::end_granter(const std::string& pool)
{
    granters_.erase(pool);
    // The accounts' remaining tokens will be unknown if this instance owns the pool again, so the
    // table is dropped. A new one starts with only a part of each burst.
    allowance_tables_.erase(pool);
    if (granters_.empty()) {
        allowance_tables_.clear();
    }
    log_event("granting", log_level::info, "pool-given-up", {{"pool", pool}});
}

} // namespace almondline::granting
