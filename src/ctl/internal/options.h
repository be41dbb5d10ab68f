#pragma once

#include "ctl/types/ctl_context.h"

#include <string>

namespace almondline::ctl {

/// Values of the flags, empty if not given.
struct flag_values {
    std::string config_path;
    std::string store_addresses;
    std::string entry_address;
    std::string ca_file;
    std::string server_name;
    std::string key_file;
    std::string operator_name;
};

/// Merges the INI file with the flags, which take precedence. Returns an empty string or the error.
std::string load_options(const flag_values& flags, ctl_options& options);

} // namespace almondline::ctl
