#pragma once

#include "granting/granter.h"
#include "manifest/types/manifest.h"
#include "placement/placement_coordinator.h"

#include <string>
#include <vector>

namespace almondline::entry {

/// Makes the message that reports a pool's demand and replicas to the candidates for the placement
/// lease. The accounts with the most work are listed separately; the others are summed up by model
/// and tier.
wire::envelope make_pool_demand(granting::granter& granter);

/// Converts a pool_demand message to the input of the placement coordinator. Replicas that have
/// reported no models are not in the message and therefore not under placement.
placement::placement_input read_pool_demand(const wire::envelope& message,
                                            const std::vector<placement_policy>& policies);

} // namespace almondline::entry
