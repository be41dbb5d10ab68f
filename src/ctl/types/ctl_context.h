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
    refused = 1,     ///< refused by the system
    invalid = 2,     ///< invalid usage or input
    unreachable = 3, ///< no response; the message states if the command may have taken effect
    lost_race = 4    ///< another operator published first
};

/// Settings merged from the INI file and the flags.
struct ctl_options {
    std::string config_path;
    std::vector<ip_endpoint> store_addresses;
    ip_endpoint entry_address;
    std::string ca_file;       ///< CA of the entry instance, empty: plain HTTP
    std::string server_name;   ///< DNS name in its certificate, empty: its IP address
    std::string key_file;      ///< file that contains the operator key
    std::string operator_name; ///< name recorded in the manifest history
    bool is_json = false;
};

/// Streams, clock and options of a command. The references must outlive it.
struct ctl_context {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    const clock_source& clock;
    ctl_options options{};
};

} // namespace almondline::ctl
