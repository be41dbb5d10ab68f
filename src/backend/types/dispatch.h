#pragma once

#include "backend/completion.h"
#include "common/clock.h"
#include "common/settings.h"
#include "common/types/verdict.h"
#include "http/types/message.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace almondline::backend {

/// Backend server that receives a request.
struct target {
    std::string id; ///< id of the backend server in the instance list
    ip_endpoint address;
};

/// Timeouts and size limit of a dispatch.
struct dispatch_limits {
    std::chrono::milliseconds connect{1'000};
    std::chrono::milliseconds write{5'000};
    /// A stream that delivers no event or heartbeat for this long is resumed on a new connection.
    /// Also the timeout for the response header.
    std::chrono::milliseconds silence{2'000};
    /// Resuming is tried for this long after a connection was lost or delivered no event.
    std::chrono::milliseconds resume_window{10'000};
    std::size_t max_body = 16 * 1024 * 1024; ///< of a response, in bytes
};

/// How a dispatch ended.
enum class dispatch_end {
    not_dispatched, ///< connecting failed, so nothing was sent
    not_admitted,   ///< the backend server refused the request before admission
    rejected,       ///< the backend server answered with an error
    completed,
    broken, ///< the connection was lost or timed out and the response could not be resumed
    stopped ///< the sink stopped the dispatch
};

/// Result of a dispatch.
struct dispatch_outcome {
    dispatch_end end = dispatch_end::not_dispatched;
    verdict run = verdict::not_run;
    std::string message;    ///< cause if not completed
    http_response response; ///< of a plain service, or the error response to a rejected request
    token_usage usage;
    std::uint64_t events = 0;                 ///< events delivered to the sink
    unsigned resumes = 0;                     ///< number of times the stream was resumed
    steady_time first_event{};                ///< epoch if there was none
    std::chrono::milliseconds retry_after{0}; ///< from the backend server, 0 if it sent none
};

std::string_view to_string(dispatch_end end);

} // namespace almondline::backend
