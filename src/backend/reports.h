#pragma once

#include "routing/types/reports.h"

#include <boost/leaf/result.hpp>
#include <string_view>

namespace almondline::backend {

/// Parses the body of GET /v1/load. Values out of range are clamped. Errors carry a parse_error.
boost::leaf::result<routing::load_report> parse_load_report(std::string_view text);
/// Parses the body of GET /v1/cache/events. Errors carry a parse_error.
boost::leaf::result<routing::cache_events> parse_cache_events(std::string_view text);

} // namespace almondline::backend
