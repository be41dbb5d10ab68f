#pragma once

#include "manifest/types/manifest.h"

#include <chrono>
#include <cstddef>

namespace almondline::gateway {

/// How one attempt at a backend server ended.
enum class attempt_end {
    completed,
    failure_reply, ///< the server answered with a failure of its own, and the request ran
    not_run,       ///< the server refused the request before it began
    unreachable,   ///< no connection: no byte was written
    broken,        ///< the connection or the response broke after a byte was written
    silent,        ///< nothing came for too long
    stopped        ///< the caller left, or the time is up
};

/// What the next step of a request depends on.
struct attempt_facts {
    attempt_end end = attempt_end::completed;
    route_kind kind = route_kind::non_idempotent;
    bool is_resumable = false;
    bool is_server_error = false; ///< failure_reply with a status from 500
    bool has_started = false;     ///< the caller has part of the response
    bool has_event_ids = false;   ///< a started stream can be resumed after its last event
    int servers_reached = 0;      ///< servers that got the request
    int max_attempts = 1;
    int unreachable_servers = 0;
    bool has_time = true; ///< another attempt may still end in time
};

enum class next_step {
    answer,        ///< give the caller what there is: the response, or a refusal
    try_elsewhere, ///< at another server, from the start
    resume,        ///< at another server, after the last event
    cut            ///< end the started response without a proper end
};

/// Servers that could not be reached are passed over, up to this number: nothing was sent to them.
constexpr int max_unreachable_servers = 6;

/// True if a request of a route may run more than once.
bool may_run_again(route_kind kind, bool is_resumable);

next_step decide_next(const attempt_facts& facts);

/// True if the step sends the request once more to a server, and so needs the retry budget.
bool needs_retry_budget(const attempt_facts& facts, next_step step);

} // namespace almondline::gateway
