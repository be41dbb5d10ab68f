#pragma once

#include "gateway/internal/request_attempts.h"

namespace almondline::gateway {

/// Makes an attempt the only one, because it delivers the response or the next event. Returns false
/// if another one did so before.
bool claim(request_attempts& attempts, server_attempt& attempt, steady_time now);

} // namespace almondline::gateway
