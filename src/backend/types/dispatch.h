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

struct target {
    std::string id; ///< backend server in the instance list
    ip_endpoint address;
};

struct dispatch_limits {
    std::chrono::milliseconds connect{1'000};
    std::chrono::milliseconds write{5'000};
    /// A stream without an event or heartbeat for this long is resumed on a new connection.
    std::chrono::milliseconds silence{2'000};
    /// Time from a cut or silence in which resuming is tried.
    std::chrono::milliseconds resume_window{10'000};
    std::size_t max_body = 16 * 1024 * 1024;
};

/// How a dispatch ended.
enum class dispatch_end {
    not_dispatched, ///< no connection, no byte of the request was written
    not_admitted,   ///< the engine refused before admission
    rejected,       ///< the backend server answered with an error
    completed,
    broken, ///< the connection was lost or silent and the answer could not be resumed
    stopped ///< the sink asked to stop
};

struct dispatch_outcome {
    dispatch_end end = dispatch_end::not_dispatched;
    verdict run = verdict::not_run;
    std::string message;    ///< cause, if not completed
    http_response response; ///< answer of a plain service, or the error of a rejected request
    token_usage usage;
    std::uint64_t events = 0;                 ///< events passed on
    unsigned resumes = 0;                     ///< connections on which the stream was resumed
    steady_time first_event{};                ///< epoch if there was none
    std::chrono::milliseconds retry_after{0}; ///< from the backend server, 0 if it named none
};

std::string_view to_string(dispatch_end end);

} // namespace almondline::backend
