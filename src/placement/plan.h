#pragma once

#include "manifest/types/manifest.h"
#include "placement/types/placement.h"

#include <vector>

namespace almondline::placement {

/// Returns the next steps that bring each model to its wanted number of replicas: drain a replica
/// of a model with a surplus, load the model once the last request has finished, serve. The wanted
/// number follows the load with hysteresis and stays within the policy's limits; a model below
/// min_replicas gets replicas at once. Loads wait for the weight budget. A surplus replica keeps
/// its model until another model needs the replica.
std::vector<placement_decision> plan_placement(plan_state& state,
                                               const std::vector<model_demand>& demand,
                                               const std::vector<replica_status>& replicas,
                                               const std::vector<placement_policy>& policies,
                                               weight_budget& budget, const plan_settings& settings,
                                               steady_time now);

} // namespace almondline::placement
