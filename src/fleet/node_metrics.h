#pragma once

#include "fleet/node.h"
#include "metrics/registry.h"
#include "store/types/store_limits.h"

namespace almondline::fleet {

/// Copies the counters of an instance and of its store client to the metrics.
void report_metrics(metrics_registry& metrics, const node& instance,
                    const store_call_counts& calls);

} // namespace almondline::fleet
