#pragma once

#include "ctl/types/ctl_context.h"

#include <cstdint>
#include <string>

namespace almondline::ctl {

exit_code validate_manifest_file(ctl_context& context, const std::string& path);
/// Compares two files, or the manifest in the store with a file if other_path is empty.
exit_code diff_manifest_files(ctl_context& context, const std::string& path,
                              const std::string& other_path);
exit_code publish_manifest_file(ctl_context& context, const std::string& path,
                                std::int64_t based_on);
exit_code show_manifest_history(ctl_context& context);
/// Prints the manifest of a version in the history, or the current one if the version is 0.
exit_code show_manifest(ctl_context& context, std::int64_t version);

} // namespace almondline::ctl
