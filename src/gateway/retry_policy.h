#pragma once

#include "manifest/types/manifest.h"

#include <chrono>
#include <cstddef>
#include <string_view>

namespace almondline::gateway {

/// How an attempt to run a request on a backend server ended.
enum class attempt_end {
    completed,
    failure_reply, ///< the server answered with an error, and the request ran
    not_run,       ///< the server refused the request before running it
    unreachable,   ///< connecting failed, so nothing was sent
    broken,        ///< the connection or the response failed after sending had started
    timed_out,     ///< the server sent nothing for too long
    stopped        ///< the caller disconnected, the deadline passed, or another server delivered
};

/// Returns the name of an end in the log.
std::string_view to_string(attempt_end end);

/// Input of decide_next().
struct attempt_facts {
    attempt_end end = attempt_end::completed;
    route_kind kind = route_kind::non_idempotent;
    bool is_resumable = false;
    bool is_server_error = false; ///< failure_reply with status 500 or above
    bool has_started = false;     ///< part of the response was sent to the caller
    bool has_event_ids = false;   ///< a started stream can be resumed after its last event
    int servers_reached = 0;      ///< servers to which the request was sent
    int max_attempts = 1;
    int unreachable_servers = 0;
    bool has_time = true; ///< enough time is left for another attempt
};

enum class next_step {
    answer,             ///< send the caller the response, or a refusal if there is none
    try_another_server, ///< start over on another server
    resume,             ///< continue on another server after the last event
    abort               ///< abort the started response
};

/// Number of unreachable servers after which a request fails. They don't count as attempts, because
/// nothing was sent to them.
constexpr int max_unreachable_servers = 6;

/// Returns whether a request to a route may run more than once.
bool may_run_again(route_kind kind, bool is_resumable);

/// Returns whether an attempt ended with the response that the caller gets, whatever other servers
/// may answer.
bool is_final_response(const attempt_facts& facts);

/// Returns the next step of a request after an attempt.
next_step decide_next(const attempt_facts& facts);

/// Returns whether another server may be asked beside servers that are silent but still have the
/// request. The end of the attempt in the facts is ignored.
bool may_ask_another(attempt_facts facts);

/// Returns whether the end of one attempt says more about a request than the end of another one, of
/// those that were in progress at the same time: a response counts most, then a request that may
/// have run, then one that did not.
bool is_more_conclusive(attempt_end end, attempt_end other);

/// Returns why decide_next() allows no other attempt, for the log. Empty if it allows one, or if
/// none is needed.
std::string_view retry_barrier(const attempt_facts& facts);

/// Returns whether the step is a retry, which the retry budget must allow. False while the request
/// has not been sent to any server.
bool needs_retry_budget(const attempt_facts& facts, next_step step);

} // namespace almondline::gateway
