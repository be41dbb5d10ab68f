#pragma once

#include "common/clock.h"
#include "common/settings.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace almondline::ctl {

/// Exit codes of almondctl. Scripts rely on them.
enum class exit_code : int {
    ok = 0,
    refused = 1,     ///< the system refused
    invalid = 2,     ///< usage or invalid input
    unreachable = 3, ///< no answer; an order may have taken effect if the message says so
    lost_race = 4    ///< another operator published first
};

/// Settings after the INI file and the flags were merged.
struct ctl_options {
    std::string config_path;
    std::vector<ip_endpoint> store_addresses;
    ip_endpoint entry_address;
    std::string ca_file;       ///< CA of the entry instance, empty: plain HTTP
    std::string server_name;   ///< DNS name in its certificate, empty: the IP address
    std::string key_file;      ///< holds the operator key
    std::string operator_name; ///< for the manifest history
    bool is_json = false;
};

/// Everything that a command uses of the outside.
struct ctl_context {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    const clock_source& clock;
    ctl_options options{};
};

} // namespace almondline::ctl
