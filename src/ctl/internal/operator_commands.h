#pragma once

#include "ctl/types/ctl_context.h"

#include <string>

namespace almondline::ctl {

/// Each command calls an operator endpoint of the entry instance given in the options.
exit_code show_status(ctl_context& context);
exit_code explain_request(ctl_context& context, const std::string& request_id);
exit_code drain_instance(ctl_context& context);
exit_code set_instance_log_level(ctl_context& context, const std::string& component,
                                 const std::string& level);

/// Prints the SHA-256 of the key on standard input.
exit_code hash_key(ctl_context& context);

} // namespace almondline::ctl
