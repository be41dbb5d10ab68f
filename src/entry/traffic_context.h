#pragma once

#include "backend/types/dispatch.h"
#include "common/clock.h"
#include "entry/authentication.h"
#include "entry/credit_source.h"
#include "entry/length_estimator.h"
#include "entry/retry_budget.h"
#include "metrics/registry.h"

#include <atomic>
#include <memory>

namespace almondline::entry {

/// Provides the manifest in force to the traffic threads; nullptr until there is one.
class snapshot_source {
public:
    virtual ~snapshot_source() = default;
    virtual std::shared_ptr<const manifest_snapshot> snapshot() const = 0;

protected:
    snapshot_source() = default;
    snapshot_source(const snapshot_source&) = default;
    snapshot_source& operator=(const snapshot_source&) = default;
};

/// Stores the decision records of requests, which operators can query. Thread-safe.
class decision_recorder {
public:
    virtual ~decision_recorder() = default;
    virtual void record(const std::string& request_id, const std::string& line) = 0;

protected:
    decision_recorder() = default;
    decision_recorder(const decision_recorder&) = default;
    decision_recorder& operator=(const decision_recorder&) = default;
};

/// Dependencies of requests on the traffic threads. All members are thread-safe.
struct traffic_context {
    const clock_source& clock;
    const snapshot_source& manifests;
    credit_source& credits;
    decision_recorder& decisions;
    metrics_registry& metrics;
    length_estimator& lengths;
    retry_budget& retries;
    backend::dispatch_limits limits;
    std::string failure_domain;
    std::string instance_id;
    const std::atomic<bool>& is_draining;
};

} // namespace almondline::entry
