#pragma once

#include "ctl/types/ctl_context.h"

#include <boost/json/object.hpp>
#include <string>

namespace almondline::ctl {

/// Writes the outcome of a command: the JSON object with --json, otherwise the text. Text of a
/// failure goes to standard error. Returns the code.
exit_code report(ctl_context& context, exit_code code, const boost::json::object& json,
                 const std::string& text);

/// The same for a failure that has only a message.
exit_code report_failure(ctl_context& context, exit_code code, const std::string& message);

/// Reads a file, or standard input for "-". Returns false after writing the cause of a failure.
bool read_input(ctl_context& context, const std::string& path, std::string& text);

/// Removes a line end and spaces at the end, which editors and shells add to keys.
std::string trim_end(std::string text);

} // namespace almondline::ctl
