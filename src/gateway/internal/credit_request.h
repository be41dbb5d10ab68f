#pragma once

#include "gateway/internal/request_flow_state.h"
#include "scheduling/types/credit_request.h"

#include <string>

namespace almondline::gateway {

/// Returns the request for a credit under an id, with all that the granter decides by.
scheduling::credit_request make_credit_request(const request_flow& flow, std::string credit_id);

} // namespace almondline::gateway
