#include "bench/internal/report.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <numeric>
#include <sstream>

namespace almondline::bench {

namespace {

constexpr double first_token_target = 1.4; ///< s, p95 at 85% of capacity
constexpr double gap_target = 0.079;       ///< s between tokens, p95 at 85% of capacity

struct column {
    const char* name;
    double (*value)(const run_results&);
};

double all_first_tokens(const run_results& r)
{
    std::vector<double> all;
    for (const auto& each : r.first_tokens) {
        all.insert(all.end(), each.begin(), each.end());
    }
    return percentile(all, 0.95);
}

/// Returns the worst p95 of the small accounts.
double small_first_tokens(const run_results& r)
{
    double worst = 0;
    for (std::size_t i = 2; i < account_count; ++i) {
        worst = std::max(worst, percentile(r.account_first_tokens[i], 0.95));
    }
    return worst;
}

double finished_requests(const run_results& r)
{
    return std::accumulate(r.finished.begin(), r.finished.end(), 0.0);
}

template <std::size_t Tier>
double finished_cost_share(const run_results& r)
{
    return r.offered_cost[Tier] > 0 ? r.finished_cost[Tier] / r.offered_cost[Tier] : 0;
}

template <std::size_t Tier>
double goodput(const run_results& r)
{
    return r.finished[Tier] / r.window();
}

double wasted_per_request(const run_results& r)
{
    return r.wasted / std::max(1.0, finished_requests(r));
}

double per_request(double value, const run_results& r)
{
    return value / std::max(1.0, r.requests);
}

constexpr column columns[] = {
    {"good_urgent", goodput<0>},
    {"good_normal", goodput<1>},
    {"good_batch", goodput<2>},
    {"kept_urgent", finished_cost_share<0>},
    {"kept_normal", finished_cost_share<1>},
    {"kept_batch", finished_cost_share<2>},
    {"wasted_tok", wasted_per_request},
    {"small_ttft", small_first_tokens},
    {"ttft_p95", all_first_tokens},
    {"gap_p95", [](const run_results& r) { return gap_percentile(r.gaps, 0.95); }},
    {"inversions", [](const run_results& r) { return static_cast<double>(r.inversions); }},
    {"late_above", [](const run_results& r) { return double(r.deadline_above_waiting); }},
    {"unknown", [](const run_results& r) { return static_cast<double>(r.unknown); }},
    {"preempted", [](const run_results& r) { return static_cast<double>(r.preemptions); }},
    {"msgs", [](const run_results& r) { return per_request(r.messages, r); }},
    {"bytes", [](const run_results& r) { return per_request(r.message_bytes, r); }},
};

std::string format_number(double value)
{
    char text[40];
    std::snprintf(text, sizeof text, std::abs(value) < 100 ? "%.3f" : "%.0f", value);
    return text;
}

std::string format_with_target(double value, double limit)
{
    return format_number(value) + " (target " + format_number(limit) + ")";
}

void check_flood_floors(const deployment_measurements& all, const run_results& flood,
                        std::vector<target_result>& out)
{
    const auto config = bench_queue_config(bench_max_waiting);
    for (std::size_t tier = 1; tier < tier_count; ++tier) {
        const double offered = flood.offered_cost[tier] / flood.window();
        const double floor = std::min(offered, config.tiers[tier].floor * all.capacity_cost);
        const double served = flood.finished_cost[tier] / flood.window();
        out.push_back({all.deployment.name,
                       "tier " + config.tiers[tier].name + " keeps its floor in an urgent flood",
                       "served/floor " + format_with_target(served / floor, 1), served >= floor});
    }
}

} // namespace

std::string format_table(const deployment_measurements& all)
{
    std::ostringstream out;
    out << "\n"
        << all.deployment.name << ": capacity " << format_number(all.capacity) << " requests/s, "
        << format_number(all.capacity_cost) << " token units/s\n";
    char cell[64];
    std::string last;
    for (const measurement& run : all.runs) {
        if (run.scenario != last) {
            last = run.scenario;
            std::snprintf(cell, sizeof cell, "%-18s", last.c_str());
            out << cell;
            for (const column& each : columns) {
                std::snprintf(cell, sizeof cell, " %11s", each.name);
                out << cell;
            }
            out << "\n";
        }
        std::snprintf(cell, sizeof cell, "  %-16s", run.policy.c_str());
        out << cell;
        for (const column& each : columns) {
            std::snprintf(cell, sizeof cell, " %11s",
                          format_number(each.value(run.results)).c_str());
            out << cell;
        }
        out << "\n";
    }
    return out.str();
}

std::string format_tsv(const std::vector<deployment_measurements>& all)
{
    std::string out = "deployment\tscenario\tpolicy";
    for (const column& each : columns) {
        out += std::string{"\t"} + each.name;
    }
    out += "\n";
    for (const deployment_measurements& measurements : all) {
        for (const measurement& run : measurements.runs) {
            out += run.deployment + "\t" + run.scenario + "\t" + run.policy;
            for (const column& each : columns) {
                out += "\t" + format_number(each.value(run.results));
            }
            out += "\n";
        }
    }
    return out;
}

std::vector<target_result> check_targets(const deployment_measurements& all)
{
    const std::string& name = all.deployment.name;
    const std::string own = "almondline";
    std::vector<target_result> out;
    const run_results* base = all.find("base-50", own);
    const run_results* lowest_flood = all.find("flood-lowest", own);
    const run_results* urgent_flood = all.find("flood-urgent", own);
    const run_results* steady = all.find("steady-85", own);
    const run_results* alone = all.find("small-alone", own);
    const run_results* beside = all.find("small-beside-large", own);
    if (base == nullptr) {
        return out;
    }
    const double kept_urgent = lowest_flood->finished[0] / base->finished[0];
    out.push_back({name, "urgent goodput in a lowest-tier flood over that without",
                   format_with_target(kept_urgent, 0.98), kept_urgent >= 0.98});
    check_flood_floors(all, *urgent_flood, out);
    long inversions = 0;
    for (const measurement& run : all.runs) {
        inversions += run.policy == own ? run.results.inversions : 0;
    }
    out.push_back({name, "no shedding inversion, all scenarios",
                   format_with_target(static_cast<double>(inversions), 0), inversions == 0});
    for (const char* scenario : {"steady-85", "slow-engine", "late-reports"}) {
        const run_results* least = all.find(scenario, "least-reported");
        if (least != nullptr) {
            const double share = wasted_per_request(*all.find(scenario, own)) /
                                 std::max(1e-9, wasted_per_request(*least));
            out.push_back({name,
                           std::string{"wasted prefill over least-reported-load, "} + scenario,
                           format_with_target(share, 0.5), share <= 0.5});
        }
    }
    const double small = small_first_tokens(*beside) / small_first_tokens(*alone);
    out.push_back({name, "small accounts' p95 to first token beside large ones over alone",
                   format_with_target(small, 1.3), small <= 1.3});
    const double first = all_first_tokens(*steady);
    out.push_back({name, "p95 to first token at 85%, s",
                   format_with_target(first, first_token_target), first <= first_token_target});
    const double gap = gap_percentile(steady->gaps, 0.95);
    out.push_back({name, "p95 between tokens at 85%, s", format_with_target(gap, gap_target),
                   gap <= gap_target});
    return out;
}

std::string format_targets(const std::vector<target_result>& all)
{
    std::string out = "\nTargets\n";
    for (const target_result& each : all) {
        out += std::string{each.is_met ? "met     " : "missed  "} + each.deployment + ": " +
               each.target + ": " + each.figure + "\n";
    }
    return out;
}

} // namespace almondline::bench
