#include "bench/internal/control_scale.h"
#include "bench/internal/overhead.h"
#include "bench/internal/report.h"
#include "bench/internal/slopes.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <string>

namespace {

using namespace almondline::bench;

struct policy_options {
    std::uint64_t seed = 1;
    std::string out = "out";
    std::string filter;
};

bool write_file(const std::filesystem::path& path, const std::string& text)
{
    std::ofstream file{path};
    file << text;
    return static_cast<bool>(file);
}

int run_policy(const policy_options& options)
{
    std::vector<deployment_measurements> all;
    std::vector<target_result> targets;
    for (const deployment_config& deployment : {shelfmark(), goldfields()}) {
        all.push_back(measure(deployment, options.seed, options.filter));
        std::fputs(format_table(all.back()).c_str(), stdout);
        const auto results = check_targets(all.back());
        targets.insert(targets.end(), results.begin(), results.end());
    }
    std::fputs(format_targets(targets).c_str(), stdout);
    std::filesystem::create_directories(options.out);
    const std::filesystem::path out{options.out};
    const std::string tsv = format_tsv(all);
    const bool is_written = write_file(out / "policy.tsv", tsv) &&
                            write_file(out / "urgent-goodput.svg", plot_svg(tsv, "good_urgent")) &&
                            write_file(out / "wasted-prefill.svg", plot_svg(tsv, "wasted_tok"));
    if (!is_written) {
        std::fprintf(stderr, "cannot write the results to %s\n", options.out.c_str());
        return 1;
    }
    return 0;
}

struct overhead_arguments {
    overhead_options options;
    std::string engine;
    std::string plain;
    std::vector<std::string> entries;
};

void add_overhead_options(CLI::App& command, overhead_arguments& arguments)
{
    command.add_option("--engine", arguments.engine, "IP:PORT of the engine")->required();
    command.add_option("--plain", arguments.plain,
                       "IP:PORT of a backend server of a plain service");
    command.add_option("--plain-service", arguments.options.plain_service,
                       "name of the plain service at the entries");
    command.add_option("--entry", arguments.entries,
                       "IP:PORT of an entry instance; may be repeated");
    command.add_option("--entry-pid", arguments.options.entry_pids,
                       "process ids of the entry instances");
    command.add_option("--key", arguments.options.key, "bearer key for the entry instances");
    command.add_option("--model", arguments.options.model, "model to request");
    command.add_option("--calls", arguments.options.calls, "number of calls to each destination");
    command.add_option("--streams", arguments.options.streams,
                       "number of streams open at the same time to each destination");
}

int run_overhead_command(overhead_arguments& arguments)
{
    bool is_valid = almondline::parse_endpoint(arguments.engine, arguments.options.engine);
    if (!arguments.plain.empty()) {
        is_valid = almondline::parse_endpoint(arguments.plain, arguments.options.plain) && is_valid;
    }
    for (const auto& it : arguments.entries) {
        is_valid =
            almondline::parse_endpoint(it, arguments.options.entries.emplace_back()) && is_valid;
    }
    if (!is_valid) {
        std::fprintf(stderr,
                     "--engine, --plain or --entry is not an address of the form IP:PORT\n");
        return 2;
    }
    return run_overhead(arguments.options) ? 0 : 1;
}

int run_control(const std::filesystem::path& out)
{
    const auto roles = measure_control_roles();
    std::fputs(format_control(roles).c_str(), stdout);
    std::filesystem::create_directories(out);
    if (!write_file(out / "control.tsv", format_control_tsv(roles)) ||
        !write_file(out / "control.svg", control_svg(roles))) {
        std::fprintf(stderr, "cannot write the results to %s\n", out.string().c_str());
        return 1;
    }
    return 0;
}

int run(int argc, char** argv)
{
    CLI::App app{"Measurements of almondline"};
    app.require_subcommand(1);
    policy_options options;
    CLI::App* policy = app.add_subcommand("policy", "compare scheduling policies in virtual time");
    policy->add_option("--seed", options.seed, "seed of the workload");
    policy->add_option("--out", options.out, "directory for the TSV and the plots");
    policy->add_option("--only", options.filter, "run only policies whose name contains this");
    CLI::App* slopes =
        app.add_subcommand("slopes", "measure the processor time per operation by size");
    std::string slope_filter;
    slopes->add_option("--only", slope_filter, "run only slopes whose name contains this");
    CLI::App* overhead =
        app.add_subcommand("overhead", "compare calls through entry instances with direct calls");
    overhead_arguments arguments;
    add_overhead_options(*overhead, arguments);
    CLI::App* control =
        app.add_subcommand("control", "measure the control cost of an instance by fleet size");
    std::string control_out = "out";
    control->add_option("--out", control_out, "directory for the TSV and the plot");
    CLI11_PARSE(app, argc, argv);
    if (overhead->parsed()) {
        return run_overhead_command(arguments);
    }
    if (control->parsed()) {
        return run_control(control_out);
    }
    if (policy->parsed()) {
        return run_policy(options);
    }
    return run_slopes(slope_filter) ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& error) {
        std::fprintf(stderr, "almondline-bench: %s\n", error.what());
        return 1;
    }
}
