#pragma once

#include "common/types/verdict.h"
#include "gateway/internal/stop_cause.h"
#include "gateway/types/flow_limits.h"

#include <string>

namespace almondline::gateway {

/// Response of the gateway itself to a request, without a backend server.
struct gateway_refusal {
    int status = 0; ///< of the response
    refusal reason;
    std::string cause{}; ///< for the log
};

/// Returns the refusal of a request whose time is up.
gateway_refusal refuse_time_up(bool may_have_run, const flow_limits& limits);

/// Returns the refusal of a request that this instance can't finish before it ends. Another
/// instance can take the request at once if it has not run.
gateway_refusal refuse_stopping(bool may_have_run);

/// Returns the refusal of a request that ended without a response of a server.
gateway_refusal refuse_unanswered(bool may_have_run, refusal reason);

} // namespace almondline::gateway
