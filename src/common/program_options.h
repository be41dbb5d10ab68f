#pragma once

#include "common/settings.h"
#include "common/types/parse_error.h"

#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace almondline {

/// Exit codes of the programs that read a settings file.
constexpr int exit_settings = 2; ///< the settings are missing or not valid
constexpr int exit_bind = 3;     ///< an address can't be bound

struct program_options {
    std::string config_path;
    bool is_check_only = false; ///< only check the settings
};

/// Parses the command line of a program that reads a settings file. Returns the exit code if the
/// program should exit: after printing help, version or a description of the settings, or on an
/// error.
std::optional<int> parse_program_options(int argc, char** argv, const std::string& title,
                                         const std::vector<setting_spec>& spec,
                                         program_options& out);

/// Returns the settings from a load function. If it fails, writes the error to standard error and
/// returns nullopt.
template <class Settings>
std::optional<Settings> load_or_report(boost::leaf::result<Settings> (*load)(const std::string&),
                                       const std::string& path)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Settings>> {
            BOOST_LEAF_AUTO(settings, load(path));
            return std::optional<Settings>{settings};
        },
        [](const parse_error& e) -> std::optional<Settings> {
            std::cerr << to_string(e) << '\n';
            return std::nullopt;
        },
        []() -> std::optional<Settings> {
            std::cerr << "the settings can't be read\n";
            return std::nullopt;
        });
}

} // namespace almondline
