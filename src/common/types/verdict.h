#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace almondline {

/// Says whether a backend server may have run a request.
enum class verdict {
    not_run, ///< no byte of the request reached a backend server, or it refused before admission
    may_have_run, ///< the request was sent and its outcome is unknown
    ran,          ///< a backend server ran it
};

/// Name used in the X-Verdict header, in logs and in reports: "not-run", "may-have-run" or "ran".
std::string_view to_string(verdict value);

/// Final negative answer to a request.
struct refusal {
    verdict run = verdict::not_run;
    std::string code;    ///< stable identifier, for example "queue-full"
    std::string message; ///< text for people
    /// When the caller should try again; zero if trying again cannot help.
    std::chrono::milliseconds retry_after{0};
};

} // namespace almondline
