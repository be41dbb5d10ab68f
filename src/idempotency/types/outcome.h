#pragma once

#include "common/types/verdict.h"

#include <string>

namespace almondline::idempotency {

/// Final response to a request, as it was sent to the caller.
struct outcome {
    int http_status = 0;
    std::string content_type;
    std::string body;
    verdict run = verdict::may_have_run;
    /// False if the body was dropped to limit memory use; the status is still valid.
    bool is_body_kept = true;
};

} // namespace almondline::idempotency
