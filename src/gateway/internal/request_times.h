#pragma once

#include "gateway/answer_times.h"
#include "gateway/internal/request_state.h"
#include "gateway/stop_schedule.h"
#include "gateway/types/flow_limits.h"

#include <chrono>

/// Times and time limits of a request. The current time is passed in.
namespace almondline::gateway {

/// Returns the time until the deadline, zero if it has passed.
std::chrono::milliseconds time_left(const request_state& request, steady_time now);

/// Returns the timeout of the connection to a server. Later than the deadline, which ends the
/// request, so that a limit of the request is not taken for a failure of the server.
std::chrono::milliseconds io_timeout(const request_state& request, const flow_limits& limits,
                                     steady_time now);

/// Returns how long a server may send nothing before its first event or its response, until another
/// one is looked for.
std::chrono::milliseconds silence_limit_before_response(const route_policy& route,
                                                        const flow_limits& limits);

/// Returns how long a server may send nothing between two events.
std::chrono::milliseconds silence_limit_between_events(const route_policy& route,
                                                       const flow_limits& limits);

/// Returns the time after which the request could not be finished any more.
steady_time latest_dispatch(const request_state& request, const answer_time_table& answer_times,
                            const stop_schedule& stop);

/// Returns when the request gets its final response if it is not complete by then. is_dispatched
/// tells whether a server has the request.
steady_time latest_end(const request_state& request, const answer_time_table& answer_times,
                       const stop_schedule& stop, bool is_dispatched);

} // namespace almondline::gateway
