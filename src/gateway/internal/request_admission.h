#pragma once

#include "gateway/internal/gateway_refusal.h"
#include "gateway/internal/request_state.h"
#include "gateway/types/gateway_context.h"

#include <optional>

namespace almondline::gateway {

/// Fills in the route, the account, the deadline and the service of a request. Returns the refusal
/// of one that can't be served.
std::optional<gateway_refusal> admit(gateway_context& context, request_state& request);

} // namespace almondline::gateway
