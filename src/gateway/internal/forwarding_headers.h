#pragma once

#include "http/types/message.h"

#include <string_view>
#include <vector>

namespace almondline::gateway {

/// Returns the headers of a message without hop-by-hop headers and without those that describe the
/// framing of its body.
std::vector<http_header> forwarded_headers(const std::vector<http_header>& headers);

/// Returns true for the statuses that callers take as a guarantee that the request has not run and
/// never will.
bool is_not_run_status(int status);

} // namespace almondline::gateway
