#pragma once

#include "gateway/internal/request_state.h"

#include <memory>
#include <random>

/// The service that a request goes to.
namespace almondline::gateway {

/// Selects one of the route's services by weight.
void assign_service(request_state& request, const route_policy& route, std::mt19937_64& random);

/// Returns whether a manifest has another service for the request.
bool has_left_service(const request_state& request, const route_table& current);

/// Follows a manifest if it has another service for the request. Returns false if it has none.
bool follow_manifest(request_state& request, std::shared_ptr<const route_table> current,
                     std::mt19937_64& random);

} // namespace almondline::gateway
