#pragma once

#include "fleet/node.h"
#include "metrics/registry.h"
#include "store/types/store_limits.h"

namespace almondline::fleet {

/// Writes what a node and its store's client have counted to the metrics.
void report_metrics(metrics_registry& metrics, const node& of, const store_call_counts& calls);

} // namespace almondline::fleet
