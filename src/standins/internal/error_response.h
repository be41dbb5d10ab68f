#pragma once

#include "http/types/message.h"

#include <string_view>

namespace almondline::standins {

/// Response with the body {"error":{"message":MESSAGE}}.
http_response error_response(int status, std::string_view message);

} // namespace almondline::standins
