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
    for (const deployment& where : {shelfmark(), goldfields()}) {
        all.push_back(measure(where, options.seed, options.filter));
        std::fputs(format_table(all.back()).c_str(), stdout);
        const auto some = check_targets(all.back());
        targets.insert(targets.end(), some.begin(), some.end());
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

int run(int argc, char** argv)
{
    CLI::App app{"Measurements of almondline"};
    app.require_subcommand(1);
    policy_options options;
    CLI::App* policy = app.add_subcommand("policy", "compare scheduling policies in virtual time");
    policy->add_option("--seed", options.seed, "seed of the workload");
    policy->add_option("--out", options.out, "directory for the TSV and the plots");
    policy->add_option("--only", options.filter, "run only policies whose name contains this");
    CLI::App* slopes = app.add_subcommand("slopes", "processor time per operation by size");
    std::string slope_filter;
    slopes->add_option("--only", slope_filter, "run only slopes whose name contains this");
    CLI11_PARSE(app, argc, argv);
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
