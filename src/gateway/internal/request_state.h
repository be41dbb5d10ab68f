#pragma once

#include "common/clock.h"
#include "gateway/retry_policy.h"
#include "gateway/route_table.h"
#include "gateway/types/call.h"
#include "granting/types/quarantine_types.h"

#include <memory>
#include <string>

namespace almondline::gateway {

/// What a caller sent, and what was decided when the request was admitted. Only the service and its
/// routes change afterwards, when another manifest moves the request.
struct request_state {
    call received;
    std::shared_ptr<const route_table> routes;           ///< with the request's service
    std::shared_ptr<const route_table> admission_routes; ///< keeps route and account alive
    const route_policy* route = nullptr;                 ///< null until a route is found
    const account_policy* account = nullptr;             ///< null if the route needs no key
    std::string service;
    granting::fingerprints fingerprints; ///< of what may make the request crash its servers
    steady_time started{};
    steady_time deadline{};
};

/// Returns the name of the request's account; empty if the route needs no key.
inline std::string account_name(const request_state& request)
{
    return request.account == nullptr ? std::string{} : request.account->name;
}

/// Returns whether the request may run more than once.
inline bool is_repeatable(const request_state& request)
{
    return may_run_again(request.route->kind, request.route->is_resumable);
}

} // namespace almondline::gateway
