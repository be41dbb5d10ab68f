#pragma once

#include "common/clock.h"
#include "fleet/replica_registry.h"
#include "gateway/call_protocol.h"
#include "gateway/retry_window.h"
#include "gateway/route_table.h"
#include "gateway/types/flow_limits.h"
#include "granting/asker.h"
#include "granting/decision_log.h"
#include "http/connection_pool.h"
#include "metrics/registry.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <random>

namespace almondline::gateway {

/// What a request works with. Used on one thread.
struct gateway_context {
    const clock_source& clock;
    call_protocol protocol;
    flow_limits limits;
    granting::asker& credits;
    granting::decision_log& decisions;
    const fleet::replica_registry& replicas;
    connection_pool& connections;
    retry_window& retries;
    metrics_registry& metrics;
    std::function<std::shared_ptr<const route_table>()> routes; ///< null before a manifest is known
    std::function<std::size_t()> instance_count; ///< largest number of instances that may serve
    std::function<bool()> is_draining;           ///< connections close after their response
    std::function<bool()> refuses_new_requests;  ///< too little is left of the stop
    std::mt19937_64 random{std::random_device{}()};
};

} // namespace almondline::gateway
