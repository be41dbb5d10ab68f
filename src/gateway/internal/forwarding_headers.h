#pragma once

#include "http/types/message.h"

#include <string_view>
#include <vector>

namespace almondline::gateway {

/// Headers of a message without those that concern only the connection it came over, or the framing
/// of its body.
std::vector<http_header> forwarded_headers(const std::vector<http_header>& headers);

/// True for the statuses that callers take as a promise that the request has not run and never
/// will.
bool is_not_run_status(int status);

} // namespace almondline::gateway
