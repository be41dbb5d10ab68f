#include "placement/internal/targets.h"

#include <algorithm>
#include <cmath>

namespace almondline::placement {

namespace {

double load_of(const std::vector<model_demand>& demand, const std::string& model)
{
    const auto it = std::find_if(demand.begin(), demand.end(),
                                 [&](const model_demand& x) { return x.model == model; });
    return it == demand.end() ? 0 : it->load;
}

int count_replicas(const std::vector<replica_status>& replicas, const std::string& model)
{
    return static_cast<int>(std::count_if(replicas.begin(), replicas.end(), [&](const auto& it) {
        return it.model == model && !it.is_leaving;
    }));
}

int replicas_for(double load, double load_per_replica, const placement_policy& policy)
{
    const double wanted = std::ceil(load / load_per_replica);
    return static_cast<int>(std::clamp<double>(wanted, policy.min_replicas, policy.max_replicas));
}

/// Returns true once the condition has held for the given time without interruption.
bool has_lasted(std::optional<steady_time>& since, bool is_true, std::chrono::seconds time,
                steady_time now)
{
    if (!is_true) {
        since.reset();
        return false;
    }
    if (!since) {
        since = now;
    }
    return now - *since >= time;
}

} // namespace

void update_targets(plan_state& state, const std::vector<model_demand>& demand,
                    const std::vector<replica_status>& replicas,
                    const std::vector<placement_policy>& policies, const plan_settings& settings,
                    steady_time now)
{
    for (const auto& policy : policies) {
        auto& target = state.targets[policy.model];
        if (!target.is_known) {
            target.is_known = true;
            target.replicas = count_replicas(replicas, policy.model);
        }
        target.replicas = std::clamp(target.replicas, policy.min_replicas, policy.max_replicas);
        const double load = load_of(demand, policy.model);
        const int up = replicas_for(load, settings.scale_up_load, policy);
        const int down = replicas_for(load, settings.scale_down_load, policy);
        if (has_lasted(target.above_since, up > target.replicas, settings.scale_up_after, now)) {
            target.replicas = up;
            target.above_since.reset();
        }
        if (has_lasted(target.below_since, down < target.replicas, settings.scale_down_after,
                       now)) {
            target.replicas = down;
            target.below_since.reset();
        }
    }
}

std::map<std::string, int> distribute_replicas(const plan_state& state,
                                               const std::vector<placement_policy>& policies,
                                               int replica_count)
{
    std::map<std::string, int> wanted;
    int minimum = 0;
    int above_minimum = 0;
    for (const auto& policy : policies) {
        const int replicas = state.targets.at(policy.model).replicas;
        wanted[policy.model] = replicas;
        minimum += policy.min_replicas;
        above_minimum += replicas - policy.min_replicas;
    }
    if (minimum + above_minimum <= replica_count) {
        return wanted;
    }
    const int available = std::max(0, replica_count - minimum);
    for (const auto& policy : policies) {
        auto& replicas = wanted[policy.model];
        const int extra = replicas - policy.min_replicas;
        replicas =
            policy.min_replicas + (above_minimum > 0 ? extra * available / above_minimum : 0);
    }
    return wanted;
}

} // namespace almondline::placement
