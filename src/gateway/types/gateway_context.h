#pragma once

#include "common/clock.h"
#include "fleet/replica_registry.h"
#include "gateway/call_protocol.h"
#include "gateway/retry_window.h"
#include "gateway/route_table.h"
#include "gateway/types/flow_limits.h"
#include "granting/credit_client.h"
#include "granting/decision_log.h"
#include "http/connection_pool.h"
#include "metrics/registry.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace almondline::gateway {

/// What a request works with. Used on one thread.
struct gateway_context {
    const clock_source& clock;
    call_protocol protocol;
    flow_limits limits;
    granting::credit_client& credits;
    granting::decision_log& decisions;
    const fleet::replica_registry& replicas;
    connection_pool& connections;
    retry_window& retries;
    metrics_registry& metrics;
    std::atomic<std::uint64_t>& response_bytes; ///< that the bodies of all responses take
    std::uint64_t max_response_bytes;           ///< that they may take together
    std::function<std::shared_ptr<const route_table>()> routes; ///< null before a manifest is known
    /// Pools that a request may ask for a credit, the first one first.
    std::function<std::vector<std::string>(const std::string& service, const std::string& account,
                                           const std::string& request_id)>
        pools_of;
    /// A backend server said something of itself beside its answer.
    std::function<void(const std::string& backend_id, const server_notice& notice)> on_notice;
    std::function<std::size_t()> instance_count; ///< largest number of instances that may serve
    std::function<bool()> is_draining;           ///< connections close after their response
    std::function<bool()> refuses_new_requests;  ///< too little is left of the stop
    std::mt19937_64 random{std::random_device{}()};
};

} // namespace almondline::gateway
