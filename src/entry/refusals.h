#pragma once

#include "common/types/verdict.h"
#include "entry/types/caller_request.h"
#include "http/types/message.h"

#include <string>

namespace almondline::entry {

/// Response with the error body of the callers' protocol.
http_response refusal_response(int status, const refusal& why, const std::string& request_id);

/// Response to a request that was refused while it was checked; it was not run.
http_response error_response(const api_error& error, const std::string& request_id);

/// Status for a refusal code of the granter.
int status_of_refusal(const std::string& code);

/// Error object as it stands in bodies and in the last event of a broken stream.
std::string error_body(const refusal& why, const std::string& request_id);

} // namespace almondline::entry
