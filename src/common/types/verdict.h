#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace almondline {

/// Whether a backend server may have run a request.
enum class verdict {
    not_run, ///< no byte of the request reached a backend server, or it refused before admission
    may_have_run, ///< the request was sent and its outcome is unknown
    ran,          ///< a backend server ran it
};

/// Name used in the X-Verdict header, in logs and in reports: "not-run", "may-have-run" or "ran".
std::string_view to_string(verdict value);

/// Final error response to a request.
struct refusal {
    verdict run = verdict::not_run;
    std::string code;    ///< stable identifier, for example "queue-full"
    std::string message; ///< human-readable text
    /// Time after which the caller should retry; zero if a retry can't succeed.
    std::chrono::milliseconds retry_after{0};
};

} // namespace almondline
