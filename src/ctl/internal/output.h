#pragma once

#include "ctl/types/ctl_context.h"

#include <boost/json/object.hpp>
#include <string>

namespace almondline::ctl {

/// Writes the result of a command: the JSON object if --json is given, otherwise the text, which
/// goes to standard error for a failure. Returns the code.
exit_code report(ctl_context& context, exit_code code, const boost::json::object& json,
                 const std::string& text);

/// Same as report() for a failure that has only a message.
exit_code report_failure(ctl_context& context, exit_code code, const std::string& message);

/// Reads a file, or standard input if the path is "-". On failure, reports the cause and returns
/// false.
bool read_input(ctl_context& context, const std::string& path, std::string& text);

/// Removes trailing whitespace, such as the newline that editors and shells add to a key.
std::string trim_end(std::string text);

} // namespace almondline::ctl
