#pragma once

#include "common/clock.h"
#include "fleet/replica_registry.h"
#include "gateway/answer_times.h"
#include "gateway/call_protocol.h"
#include "gateway/retry_window.h"
#include "gateway/route_table.h"
#include "gateway/stop_schedule.h"
#include "gateway/types/flow_limits.h"
#include "granting/credit_client.h"
#include "granting/decision_log.h"
#include "granting/types/pool_refusal.h"
#include "http/connection_pool.h"
#include "metrics/registry.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondline::gateway {

struct request_flow;

/// State and callbacks shared by all requests of a gateway. Used on one thread.
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
    std::atomic<std::uint64_t>& response_bytes; ///< total size of the response bodies held
    std::uint64_t max_response_bytes;           ///< limit of response_bytes
    std::function<std::shared_ptr<const route_table>()> routes; ///< null until a manifest is known
    /// Returns the pool to ask for the credit of a request, or an empty string if no pool other
    /// than those that have refused it may take it.
    std::function<std::string(const std::string& service, const scheduling::credit_request& request,
                              const std::vector<granting::pool_refusal>& refused_by)>
        choose_pool;
    /// Returns how long a request has to wait because of quarantined parts of its prompt; nothing
    /// if it may run.
    std::function<std::optional<granting::quarantine_hold>(const std::string& service,
                                                           const granting::fingerprints& ids)>
        quarantine_wait;
    /// Called with the notice of each response header.
    std::function<void(const std::string& backend_id, const server_notice& notice)> on_notice;
    std::function<std::size_t()> instance_count; ///< upper bound of the instances that serve
    stop_schedule stop{};
    std::mt19937_64 random{std::random_device{}()};
    std::set<request_flow*> in_progress{}; ///< requests that were admitted and are not answered yet
    std::set<request_flow*> waiting{};     ///< those that wait for a credit
    answer_time_table answer_times{};
};

} // namespace almondline::gateway
