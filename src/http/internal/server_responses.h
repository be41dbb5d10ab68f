#pragma once

#include "http/types/message.h"

namespace almondline::http_internal {

// Responses of the server itself, without a handler.

http_response body_budget_exceeded_response();
http_response stopping_response();
http_response internal_error_response();

} // namespace almondline::http_internal
