#pragma once

#include "common/types/verdict.h"

#include <string>

namespace almondline::idempotency {

/// Final response to a request, as its caller received it.
struct outcome {
    int http_status = 0;
    std::string content_type;
    std::string body;
    verdict run = verdict::may_have_run;
    /// False once the body was dropped to bound the memory; the status is still right.
    bool is_body_kept = true;
};

} // namespace almondline::idempotency
