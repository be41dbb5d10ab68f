#pragma once

#include "gateway/internal/request_attempts.h"
#include "gateway/internal/request_state.h"
#include "gateway/types/gateway_context.h"

namespace almondline::gateway {

/// Returns the credit of an attempt, with a report of how the attempt ended. Does nothing if the
/// credit was returned before.
void release_credit(gateway_context& context, const request_state& request,
                    const request_attempts& attempts, server_attempt& attempt);

} // namespace almondline::gateway
