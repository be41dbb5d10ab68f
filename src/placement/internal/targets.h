#pragma once

#include "manifest/types/manifest.h"
#include "placement/types/placement.h"

#include <map>
#include <string>
#include <vector>

namespace almondline::placement {

/// Moves the wanted numbers of replicas with the load, after it has lasted. A model that is new to
/// the state starts with the replicas that have it, so that a new holder changes nothing at first.
void update_targets(plan_state& state, const std::vector<model_demand>& demand,
                    const std::vector<replica_status>& replicas,
                    const std::vector<placement_policy>& policies, const plan_settings& settings,
                    steady_time now);

/// Wanted replicas by model, scaled down in proportion above the minima if they exceed the replicas
/// that there are.
std::map<std::string, int> share_replicas(const plan_state& state,
                                          const std::vector<placement_policy>& policies,
                                          int replica_count);

} // namespace almondline::placement
