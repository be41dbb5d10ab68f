#include "common/program_options.h"

#include <CLI/CLI.hpp>

namespace almondline {

std::optional<int> parse_program_options(int argc, char** argv, const std::string& title,
                                         const std::vector<setting_spec>& spec,
                                         program_options& out)
{
    CLI::App app{title};
    bool is_describe_only = false;
    app.add_option("--config", out.config_path, "settings file (INI)");
    app.add_flag("--check-config", out.is_check_only, "check the settings and exit");
    app.add_flag("--describe-settings", is_describe_only,
                 "print a reference of all settings and exit");
    app.set_version_flag("--version", std::string{ALMONDLINE_VERSION});
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& e) {
        return app.exit(e);
    }
    if (is_describe_only) {
        std::cout << describe_settings(spec);
        return 0;
    }
    if (out.config_path.empty()) {
        std::cerr << "--config is required\n";
        return exit_settings;
    }
    return std::nullopt;
}

} // namespace almondline
