#include "granting/internal/pool_names.h"
#include "granting/pools.h"

#include "common/log.h"
#include "routing/routing.h"

#include <algorithm>
#include <set>

/// What the granters of the own pools grant: backend servers, queue rules and allowances.
namespace almondline::granting {

namespace {

/// Weight of a model service, relative to a plain one, in dividing an account's allowance among
/// services that have different granters.
constexpr double model_allowance_weight = 7;

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
    const int listed_limit = server.max_in_flight;
    const auto* engine = find_engine_class(m, server.engine_class);
    if (service.type == service_type::model && engine != nullptr) {
        spec.prefill_rate = engine->prefill_tokens_per_second;
        spec.decode_rate = engine->decode_tokens_per_second;
        spec.kv_tokens = engine->kv_tokens;
        spec.max_in_flight = engine->max_in_flight;
    }
    if (listed_limit > 0) {
        spec.max_in_flight = listed_limit;
    }
    return spec;
}

double allowance_weight(const service_policy& service)
{
    return service.type == service_type::model ? model_allowance_weight : 1;
}

} // namespace

scheduling::queue_config pools::make_config(const service_policy& service) const
{
    auto config = scheduling::make_queue_config(*manifest_, service);
    config.yield_share = settings_.yield_share;
    config.max_waiting =
        std::max<std::size_t>(1, config.max_waiting / services_.at(service.name).slices.size());
    return config;
}

scheduling::allowance_table& pools::allowances_of(const std::string& pool)
{
    const auto [it, is_new] = allowance_tables_.try_emplace(is_divided() ? pool : common_pool);
    if (is_new) {
        it->second.settings = settings_.allowances;
        it->second.share = allowance_share_;
    }
    return it->second;
}

double pools::allowance_fraction(const divided_service& service,
                                 const account_policy& account) const
{
    if (!is_divided()) {
        return 1;
    }
    double weights = 0;
    for (const auto& [name, it] : services_) {
        weights += allowance_weight(*it.policy);
    }
    const auto slices = static_cast<double>(slice_count_of(service, account.allowance_rate));
    return allowance_weight(*service.policy) / weights / slices;
}

void pools::update_allowances(const pool_slice& slice)
{
    auto& allowances = allowances_of(slice.pool);
    const auto before = allowances.buckets;
    const auto fraction = [&](const account_policy& it) {
        return allowance_fraction(*slice.service, it);
    };
    scheduling::reconfigure(allowances, manifest_->accounts, fraction, clock_.now());
    for (const auto& [account, bucket] : allowances.buckets) {
        const auto known = before.find(account);
        const bool is_same = known != before.end() && known->second.rate == bucket.rate &&
                             known->second.capacity == bucket.capacity;
        if (!is_same) {
            log_event("granting", log_level::info, "allowance-changed",
                      {{"account", account},
                       {"pool", slice.pool},
                       {"tokens_per_s", bucket.rate},
                       {"capacity", bucket.capacity},
                       {"manifest", manifest_->version}});
        }
    }
}

void pools::update_replicas(granter& target, const pool_slice& slice)
{
    const auto& service = *slice.service->policy;
    const auto& ids = slice.service->slices[slice.index];
    const auto now = clock_.now();
    auto& table = target.replicas();
    const std::set<std::string> listed{ids.begin(), ids.end()};
    for (const auto& it : backends_) {
        if (listed.count(it.id) != 0) {
            routing::update_replica(table, make_spec(it, service, *manifest_), now);
        }
    }
    std::vector<std::string> removed;
    for (const auto& [id, index] : table.index) {
        if (listed.count(id) == 0) {
            removed.push_back(id);
        }
    }
    for (const auto& id : removed) {
        routing::remove_replica(table, id);
    }
    target.tick(now);
}

void pools::drop_replica(const std::string& id)
{
    for (auto& [name, granter] : granters_) {
        routing::remove_replica(granter->replicas(), id);
    }
}

} // namespace almondline::granting
