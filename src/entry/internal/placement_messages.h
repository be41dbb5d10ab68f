#pragma once

#include "granting/granter.h"
#include "manifest/types/manifest.h"
#include "placement/placement_coordinator.h"

#include <string>
#include <vector>

namespace almondline::entry {

/// State of a pool for the instances that control placement. The accounts with most work are sent
/// one by one, the others of a model and tier together.
wire::envelope make_pool_demand(granting::granter& granter);

/// Reads a pool_demand message. Replicas whose models are not known are left out: they are not
/// under placement.
placement::placement_input read_pool_demand(const wire::envelope& message,
                                            const std::vector<placement_policy>& policies);

} // namespace almondline::entry
