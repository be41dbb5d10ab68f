#pragma once

#include "common/clock.h"
#include "common/types/verdict.h"
#include "gateway/event_times.h"
#include "gateway/internal/stop_cause.h"

#include <cstdint>
#include <optional>
#include <string>

namespace almondline::gateway {

/// What was sent to the caller of a request, and what decides its final response.
struct caller_answer {
    std::optional<steady_time> stream_started; ///< when the header of a stream was sent
    event_times events;                        ///< forwarded to the caller
    std::uint64_t last_event_id = 0;           ///< forwarded to the caller; 0 if none had an id
    stop_cause stopped = stop_cause::none;
    std::optional<refusal> refused; ///< by the granter
    std::string refusal_cause;      ///< of the gateway's own refusal, for the log
    std::string retry_barrier;      ///< why no other attempt followed the last one, for the log
};

/// Returns whether part of the response was sent to the caller.
inline bool has_started(const caller_answer& answer)
{
    return answer.stream_started.has_value();
}

} // namespace almondline::gateway
