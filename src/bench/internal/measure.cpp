#include "bench/internal/measure.h"

#include <memory>

namespace almondline::bench {

namespace {

constexpr double duration = 180;
constexpr double longest_run = 260; // s; streams end here, because no run is longer
constexpr double disturbance_start = 60;

const std::vector<double> usual_tiers{0.2, 0.5, 0.3};
const std::vector<double> usual_accounts{0.4, 0.3, 0.15, 0.1, 0.05};

/// Keeps every engine at its max_in_flight requests and ignores arrivals.
class saturating_policy final : public policy {
public:
    saturating_policy(simulation& sim, std::uint64_t seed)
        : policy{sim}, source_{{1e6, usual_tiers, usual_accounts, 0, 1e9, seed}, 1}
    {
    }

    void arrive(simulated_request&) override {}
    void on_report(int, const routing::load_report&) override {}
    void on_end(simulated_request& request) override { feed(request.replica); }

    void on_tick() override
    {
        if (requests_.empty()) {
            for (int i = 0; i < static_cast<int>(sim_.engines().size()); ++i) {
                for (int n = 0; n < sim_.engines()[i]->description().max_in_flight; ++n) {
                    feed(i);
                }
            }
        }
    }

private:
    void feed(int replica)
    {
        simulated_request& request = requests_.emplace_back();
        source_.next(request);
        request.arrived = sim_.now();
        request.deadline = sim_.now() + 1e6;
        sim_.dispatch(request, replica);
    }

    request_source source_;
    std::deque<simulated_request> requests_;
};

stream_spec base_load(double rate, std::uint64_t seed)
{
    return {rate, usual_tiers, usual_accounts, 0, longest_run, seed};
}

stream_spec flood(double rate, std::size_t tier, std::uint64_t seed)
{
    std::vector<double> tiers(tier_count, 0);
    tiers[tier] = 1;
    return {rate, tiers, usual_accounts, disturbance_start, longest_run, seed};
}

} // namespace

const run_results* deployment_measurements::find(const std::string& scenario,
                                                 const std::string& policy) const
{
    for (const measurement& each : runs) {
        if (each.scenario == scenario && each.policy == policy) {
            return &each.results;
        }
    }
    return nullptr;
}

double measure_capacity(const deployment_config& deployment, std::uint64_t seed, double& cost)
{
    scenario_config scenario;
    scenario.name = "capacity";
    simulation sim{deployment, scenario, [&](simulation& each) {
                       return std::make_unique<saturating_policy>(each, seed);
                   }};
    const run_results results = sim.run();
    double finished = 0;
    cost = 0;
    for (std::size_t i = 0; i < tier_count; ++i) {
        finished += results.finished[i] / results.window();
        cost += results.finished_cost[i] / results.window();
    }
    return finished;
}

std::vector<scenario_config> make_scenarios(double capacity, std::uint64_t seed)
{
    // Long requests take 70 s on a full engine. If the window opened earlier, the work in progress
    // would still be growing, and fewer requests would finish than are being served.
    const double flood_window_from = 140;
    const double flood_duration = longest_run;
    std::vector<scenario_config> all;
    all.push_back({"steady-85", {base_load(0.85 * capacity, seed)}, duration});
    all.push_back({"base-50",
                   {base_load(0.5 * capacity, seed)},
                   flood_duration,
                   flood_window_from,
                   flood_duration});
    all.push_back({"flood-lowest",
                   {base_load(0.5 * capacity, seed), flood(10 * capacity, 2, seed + 1)},
                   flood_duration,
                   flood_window_from,
                   flood_duration});
    all.push_back({"flood-urgent",
                   {base_load(0.5 * capacity, seed), flood(10 * capacity, 0, seed + 2)},
                   flood_duration,
                   flood_window_from,
                   flood_duration});
    // Callers keep using a cached address, so a burst may arrive at a single entry.
    stream_spec at_one_entry = flood(10 * capacity, 0, seed + 5);
    at_one_entry.entry = 1;
    all.push_back({"flood-one-entry",
                   {base_load(0.9 * capacity, seed), at_one_entry},
                   flood_duration,
                   flood_window_from,
                   flood_duration});
    // The small accounts offer 1/21 of a total load of twice the capacity.
    const double small = 2 * capacity / 21;
    const stream_spec small_stream{small, {0, 1, 0}, {0, 0, 1, 1, 1}, 0, duration, seed + 3};
    const stream_spec large_stream{20 * small, {0, 1, 0}, {1, 1, 0, 0, 0}, 0, duration, seed + 4};
    all.push_back({"small-alone", {small_stream}, duration});
    all.push_back({"small-beside-large", {small_stream, large_stream}, duration});
    scenario_config slow{"slow-engine", {base_load(0.7 * capacity, seed)}, duration, 65};
    slow.slow_engine = 2;
    slow.slow_from = disturbance_start;
    all.push_back(slow);
    scenario_config late{"late-reports", {base_load(0.85 * capacity, seed)}, duration};
    late.report_delay = 5;
    all.push_back(late);
    return all;
}

deployment_measurements measure(const deployment_config& deployment, std::uint64_t seed,
                                const std::string& filter)
{
    deployment_measurements result;
    result.deployment = deployment;
    result.capacity = measure_capacity(deployment, seed, result.capacity_cost);
    for (const scenario_config& scenario : make_scenarios(result.capacity, seed)) {
        for (const named_policy& each : all_policies()) {
            if (each.name.find(filter) == std::string::npos) {
                continue;
            }
            simulation sim{deployment, scenario, each.make};
            result.runs.push_back({deployment.name, scenario.name, each.name, sim.run()});
        }
    }
    return result;
}

} // namespace almondline::bench
