#pragma once

#include <string>
#include <vector>

namespace almondline::ctl {

/// Words to offer after a sequence of commands, for example "manifest" or "manifest publish".
struct completion_rule {
    std::string commands;
    std::vector<std::string> words;
};

/// Returns a Bash script that completes the commands and flags of a program, or else file names.
std::string format_bash_completion(const std::string& program,
                                   const std::vector<completion_rule>& rules);

} // namespace almondline::ctl
