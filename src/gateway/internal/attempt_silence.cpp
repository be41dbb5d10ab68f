#include "gateway/internal/attempt_silence.h"

#include "gateway/internal/durations.h"

#include <algorithm>

namespace almondline::gateway {

using std::chrono::milliseconds;

namespace {

milliseconds silent_for(const server_attempt& attempt, steady_time now)
{
    return since(attempt.last_progress, now);
}

} // namespace

bool is_any_running(const request_attempts& attempts)
{
    return std::any_of(attempts.current.begin(), attempts.current.end(), is_running);
}

bool is_only_running(const request_attempts& attempts, const server_attempt& attempt)
{
    return std::none_of(attempts.current.begin(), attempts.current.end(),
                        [&](const auto& it) { return is_running(it) && &it != &attempt; });
}

bool is_silent(const server_attempt& attempt, steady_time now)
{
    // A caller that reads slowly makes the server wait.
    return is_sent(attempt) && !attempt.is_forwarding &&
           silent_for(attempt, now) >= attempt.silence_limit;
}

bool are_servers_silent(const request_attempts& attempts, steady_time now)
{
    return is_any_running(attempts) &&
           std::all_of(attempts.current.begin(), attempts.current.end(),
                       [&](const auto& it) { return !is_running(it) || is_silent(it, now); });
}

milliseconds time_until_silent(const request_attempts& attempts, steady_time now)
{
    milliseconds out{0};
    for (const auto& it : attempts.current) {
        if (is_running(it)) {
            out = std::max(out, it.silence_limit - silent_for(it, now));
        }
    }
    return out;
}

std::string describe_silence(const server_attempt& attempt, steady_time now)
{
    return "silent for " + std::to_string(silent_for(attempt, now).count()) + " ms";
}

} // namespace almondline::gateway
