#include "entry/internal/placement_messages.h"

#include "peer/wire.h"
#include "routing/routing.h"

#include <algorithm>
#include <map>

namespace almondline::entry {

namespace {

// Keeps the message of a pool with 64 replicas, sent every second, at about 6 KB. One entry for
// each of 840 accounts would take 50 KB.
constexpr std::size_t max_loads = 32;
// Account name of the entries that sum up several accounts.
constexpr const char* other_accounts = "";

wire::model_load to_wire(const granting::model_work& work)
{
    wire::model_load out;
    out.model = work.model;
    out.tier = work.tier;
    out.account = work.account;
    out.waiting_cost = work.waiting_cost;
    out.running_cost = work.running_cost;
    out.waiting = work.waiting;
    out.running = work.running;
    return out;
}

std::vector<wire::model_load> make_loads(std::vector<granting::model_work> work)
{
    std::stable_sort(work.begin(), work.end(), [](const auto& a, const auto& b) {
        return a.waiting_cost + a.running_cost > b.waiting_cost + b.running_cost;
    });
    std::vector<wire::model_load> loads;
    std::map<std::pair<std::string, int>, granting::model_work> others;
    for (const auto& it : work) {
        if (loads.size() < max_loads) {
            loads.push_back(to_wire(it));
            continue;
        }
        auto& sum = others[{it.model, it.tier}];
        sum.model = it.model;
        sum.tier = it.tier;
        sum.account = other_accounts;
        sum.waiting_cost += it.waiting_cost;
        sum.running_cost += it.running_cost;
        sum.waiting += it.waiting;
        sum.running += it.running;
    }
    for (const auto& it : others) {
        loads.push_back(to_wire(it.second));
    }
    return loads;
}

/// Returns the model that a replica serves. If it has several, the first one with a placement
/// policy.
std::string model_of(const wire::replica_load& replica,
                     const std::vector<placement_policy>& policies)
{
    for (const auto& it : replica.models) {
        if (std::any_of(policies.begin(), policies.end(),
                        [&](const auto& policy) { return policy.model == it; })) {
            return it;
        }
    }
    return replica.models.empty() ? std::string{} : replica.models.front();
}

std::vector<placement::model_demand> read_demand(const wire::pool_demand& message,
                                                 double slots_per_replica)
{
    std::map<std::string, double> requests;
    for (const auto& it : message.loads) {
        requests[it.model] += std::max(0, it.waiting) + std::max(0, it.running);
    }
    std::vector<placement::model_demand> demand;
    demand.reserve(requests.size());
    for (const auto& [model, count] : requests) {
        demand.push_back({model, count / slots_per_replica});
    }
    return demand;
}

} // namespace

wire::envelope make_pool_demand(granting::granter& granter)
{
    wire::pool_demand demand;
    demand.pool = granter.pool();
    demand.loads = make_loads(granter.work_by_model());
    for (const auto& it : granter.replicas().replicas) {
        if (!it.is_present || !it.has_known_models) {
            continue;
        }
        wire::replica_load replica;
        replica.replica_id = it.spec.id;
        replica.address = it.spec.address;
        replica.failure_domain = it.spec.failure_domain;
        replica.models = it.models;
        replica.in_flight = granter.unfinished_requests(it);
        replica.max_in_flight = it.spec.max_in_flight;
        replica.draining = routing::is_draining(it);
        replica.leaving = it.is_leaving;
        demand.replicas.push_back(std::move(replica));
    }
    wire::envelope message;
    message.__set_demand(demand);
    return message;
}

placement::placement_input read_pool_demand(const wire::envelope& message,
                                            const std::vector<placement_policy>& policies)
{
    placement::placement_input input;
    input.pool = message.demand.pool;
    input.policies = policies;
    double slots = 0;
    for (const auto& it : message.demand.replicas) {
        slots += std::max(1, it.max_in_flight);
        placement::replica_status status;
        status.id = it.replica_id;
        status.address = it.address;
        status.failure_domain = it.failure_domain;
        status.model = model_of(it, policies);
        status.in_flight = std::max(0, it.in_flight);
        status.is_draining = it.draining;
        status.is_leaving = it.leaving;
        input.replicas.push_back(std::move(status));
    }
    const auto count = static_cast<double>(message.demand.replicas.size());
    input.demand = read_demand(message.demand, count > 0 ? slots / count : 1);
    return input;
}

} // namespace almondline::entry
