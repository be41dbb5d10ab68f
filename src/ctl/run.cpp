#include "ctl/run.h"

#include "ctl/internal/completion.h"
#include "ctl/internal/manifest_commands.h"
#include "ctl/internal/operator_commands.h"
#include "ctl/internal/options.h"
#include "ctl/internal/output.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <functional>

namespace almondline::ctl {

namespace {

constexpr const char* footer_text =
    "Exit codes: 0 done, 1 refused by the system, 2 invalid usage or input, 3 unreachable or\n"
    "undecided, 4 another operator published first.\n"
    "Settings come from the INI file given by --config or $ALMONDCTL_CONFIG; flags override them.";

/// Parsed arguments and the selected command.
struct command_line {
    flag_values flags;
    std::string path;
    std::string other_path;
    std::string request_id;
    std::string component;
    std::string level;
    std::string shell;
    std::int64_t version = 0;
    std::function<exit_code()> command;
};

CLI::App* add_command(CLI::App& parent, const std::string& name, const std::string& description,
                      command_line& line, std::function<exit_code()> command)
{
    auto* added = parent.add_subcommand(name, description);
    added->callback([&line, command = std::move(command)] { line.command = command; });
    return added;
}

void add_flags(CLI::App& app, command_line& line, ctl_context& context)
{
    app.set_version_flag("--version", "almondctl " ALMONDLINE_VERSION);
    app.add_option("--config", line.flags.config_path, "INI file with the settings");
    app.add_option("--store", line.flags.store_addresses,
                   "IP:PORT of the store, several separated by commas");
    app.add_option("--entry", line.flags.entry_address, "IP:PORT of an entry instance");
    app.add_option("--ca", line.flags.ca_file,
                   "PEM file with the CA of the entry instance; enables TLS");
    app.add_option("--server-name", line.flags.server_name,
                   "DNS name in the certificate of the entry instance (default: its IP address)");
    app.add_option("--operator-key-file", line.flags.key_file,
                   "file that contains the operator key");
    app.add_option("--operator-name", line.flags.operator_name,
                   "operator name recorded in the manifest history");
    app.add_flag("--json", context.options.is_json, "write JSON");
}

void add_manifest_commands(CLI::App& app, command_line& line, ctl_context& context)
{
    auto* group = app.add_subcommand("manifest", "Check, publish and show manifests");
    group->require_subcommand(0, 1);
    auto* validate = add_command(*group, "validate", "Check a manifest file", line,
                                 [&] { return validate_manifest_file(context, line.path); });
    validate->add_option("FILE", line.path, "manifest, - for standard input")->required();
    auto* diff = add_command(
        *group, "diff", "Show what changes from FILE to OTHER, or from the store to FILE", line,
        [&] { return diff_manifest_files(context, line.path, line.other_path); });
    diff->add_option("FILE", line.path, "manifest")->required();
    diff->add_option("OTHER", line.other_path, "manifest");
    auto* publish = add_command(*group, "publish", "Publish a manifest file", line, [&] {
        return publish_manifest_file(context, line.path, line.version);
    });
    publish->add_option("FILE", line.path, "manifest, - for standard input")->required();
    publish
        ->add_option("--based-on", line.version,
                     "version that the change is based on, 0 for the first manifest")
        ->required()
        ->check(CLI::NonNegativeNumber);
    add_command(*group, "history", "Show the last publications", line,
                [&] { return show_manifest_history(context); });
    auto* show = add_command(*group, "show", "Print a published manifest", line,
                             [&] { return show_manifest(context, line.version); });
    show->add_option("VERSION", line.version, "version to print (default: the current one)")
        ->check(CLI::PositiveNumber);
}

void add_operator_commands(CLI::App& app, command_line& line, ctl_context& context)
{
    add_command(app, "status", "Show the state of an entry instance", line,
                [&] { return show_status(context); });
    auto* explain = add_command(app, "explain", "Show the decisions made for a request", line,
                                [&] { return explain_request(context, line.request_id); });
    explain->add_option("REQUEST", line.request_id, "X-Request-Id of the request")->required();
    add_command(app, "drain", "Let an entry instance finish its work and stop", line,
                [&] { return drain_instance(context); });
    auto* level = add_command(app, "log-level", "Change the log level of a component", line, [&] {
        return set_instance_log_level(context, line.component, line.level);
    });
    level->add_option("COMPONENT", line.component, "component, * for the default")->required();
    level->add_option("LEVEL", line.level, "debug, info, warning or error")->required();
    add_command(app, "hash-key", "Print the SHA-256 of a key read from standard input", line,
                [&] { return hash_key(context); });
}

void add_flag_words(const CLI::App& app, completion_rule& rule)
{
    for (const auto* it : app.get_options({})) {
        for (const auto& name : it->get_lnames()) {
            const auto word = "--" + name;
            if (std::find(rule.words.begin(), rule.words.end(), word) == rule.words.end()) {
                rule.words.push_back(word);
            }
        }
    }
}

/// Collects the completion rules of a command and its subcommands. The program's flags are accepted
/// after every command.
void collect_rules(const CLI::App& app, const CLI::App& program, const std::string& commands,
                   std::vector<completion_rule>& rules)
{
    completion_rule rule{commands, {}};
    for (const auto* it : app.get_subcommands({})) {
        rule.words.push_back(it->get_name());
    }
    add_flag_words(app, rule);
    add_flag_words(program, rule);
    if (commands == "completion") {
        rule.words.emplace_back("bash");
    }
    rules.push_back(std::move(rule));
    for (const auto* it : app.get_subcommands({})) {
        const auto path = commands.empty() ? it->get_name() : commands + " " + it->get_name();
        collect_rules(*it, program, path, rules);
    }
}

void add_completion_command(CLI::App& app, command_line& line, ctl_context& context)
{
    auto* completion = add_command(app, "completion", "Print a completion script", line, [&] {
        std::vector<completion_rule> rules;
        collect_rules(app, app, {}, rules);
        const auto script = format_bash_completion("almondctl", rules);
        return report(context, exit_code::ok, {{"script", script}}, script);
    });
    completion->add_option("SHELL", line.shell, "bash")->required()->check(CLI::IsMember({"bash"}));
}

int to_int(exit_code code)
{
    return static_cast<int>(code);
}

} // namespace

int run_almondctl(std::vector<std::string> arguments, ctl_context& context)
{
    command_line line;
    CLI::App app{"Operates almondline", "almondctl"};
    // If a subcommand were required, CLI11's error would not contain the unknown one.
    app.require_subcommand(0, 1);
    app.fallthrough();
    app.footer(footer_text);
    add_flags(app, line, context);
    add_manifest_commands(app, line, context);
    add_operator_commands(app, line, context);
    add_completion_command(app, line, context);
    // CLI11 takes the arguments in reverse order.
    std::reverse(arguments.begin(), arguments.end());
    try {
        app.parse(std::move(arguments));
    }
    catch (const CLI::ParseError& e) {
        return app.exit(e, context.out, context.err) == 0 ? 0 : to_int(exit_code::invalid);
    }
    if (!line.command) {
        return to_int(
            report_failure(context, exit_code::invalid, "a subcommand is required, see --help"));
    }
    const auto error = load_options(line.flags, context.options);
    if (!error.empty()) {
        return to_int(report_failure(context, exit_code::invalid, error));
    }
    return to_int(line.command());
}

} // namespace almondline::ctl
