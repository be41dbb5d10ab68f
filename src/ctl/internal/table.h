#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace almondline::ctl {

/// Renders JSON as human-readable text: members as "name  value" lines, arrays of objects as tables
/// with one column per member, nested objects and arrays under a heading. Control characters are
/// replaced, because values come from other systems and are written to a terminal.
std::string render_json(const boost::json::value& value);

/// Replaces control characters with '?'.
std::string to_printable(std::string text);

} // namespace almondline::ctl
