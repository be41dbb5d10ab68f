#pragma once

#include "ctl/types/ctl_context.h"

#include <string>
#include <vector>

namespace almondline::ctl {

/// Runs one command of almondctl. The arguments do not include the program name. Returns the exit
/// code.
int run_almondctl(std::vector<std::string> arguments, ctl_context& context);

} // namespace almondline::ctl
