#pragma once

#include <string>
#include <vector>

namespace almondline::ctl {

/// Words that may follow a sequence of commands, for example "manifest" or "manifest publish".
struct completion_rule {
    std::string commands;
    std::vector<std::string> words;
};

/// Bash script that completes the program's commands and flags, and otherwise file names.
std::string format_bash_completion(const std::string& program,
                                   const std::vector<completion_rule>& rules);

} // namespace almondline::ctl
