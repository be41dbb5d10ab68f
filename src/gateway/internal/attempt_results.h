#pragma once

#include "gateway/internal/request_flow_state.h"
#include "gateway/retry_policy.h"

/// How the attempts of a request ended, and which of them decides its response.
namespace almondline::gateway {

/// Returns the end of an attempt; stopped while it is in progress.
attempt_end end_of(const server_attempt& attempt);

/// Returns whether the response received so far has a status of 500 or above.
bool has_server_error(const server_attempt& attempt);

/// Returns whether the caller can get the server's own response. Some statuses promise that the
/// request has not run, but a request that ended with a failure did.
bool has_response_of_server(const server_attempt& attempt);

/// Returns the facts that decide the next step after an attempt, or without one if it is null.
attempt_facts make_facts(const request_flow& flow, const server_attempt* attempt);

/// Returns the attempt that decides the next step of the round; null if there is none.
server_attempt* decisive_attempt(request_attempts& attempts);

/// Returns the attempt whose response the caller gets, or whose failure; null if there is none.
server_attempt* final_attempt(request_attempts& attempts, const caller_answer& answer);

/// Forgets the attempts of the round, but for those that ended with a response that the caller can
/// still get.
void keep_responses(request_attempts& attempts, const caller_answer& answer);

} // namespace almondline::gateway
