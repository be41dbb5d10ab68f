#pragma once

#include "common/types/verdict.h"
#include "entry/types/caller_request.h"
#include "http/types/message.h"

#include <string>

namespace almondline::entry {

/// Returns a response with the error body of the callers' API.
http_response refusal_response(int status, const refusal& reason, const std::string& request_id);

/// Returns the response to a request that failed validation and was not run.
http_response error_response(const api_error& error, const std::string& request_id);

/// Returns the HTTP status for a refusal code; 503 for codes that have no status of their own.
int status_of_refusal(const std::string& code);

/// Returns the JSON error body, which is also the last event of a truncated stream.
std::string error_body(const refusal& reason, const std::string& request_id);

} // namespace almondline::entry
