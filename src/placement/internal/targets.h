#pragma once

#include "manifest/types/manifest.h"
#include "placement/types/placement.h"

#include <map>
#include <string>
#include <vector>

namespace almondline::placement {

/// Updates the wanted number of replicas of each model once a change in load has lasted long
/// enough. A model that is new to the state starts with the number of replicas that have it loaded,
/// so that a new lease holder changes nothing at first.
void update_targets(plan_state& state, const std::vector<model_demand>& demand,
                    const std::vector<replica_status>& replicas,
                    const std::vector<placement_policy>& policies, const plan_settings& settings,
                    steady_time now);

/// Returns the wanted replicas by model. If their sum exceeds replica_count, the parts above the
/// minima are scaled down proportionally.
std::map<std::string, int> distribute_replicas(const plan_state& state,
                                               const std::vector<placement_policy>& policies,
                                               int replica_count);

} // namespace almondline::placement
