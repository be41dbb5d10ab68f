#pragma once

#include "bench/internal/policies.h"
#include "bench/internal/results.h"

#include <functional>
#include <string>
#include <vector>

namespace almondline::bench {

/// Result of one policy in one scenario.
struct measurement {
    std::string deployment;
    std::string scenario;
    std::string policy;
    run_results results;
};

struct deployment_measurements {
    deployment_config deployment;
    double capacity = 0;      ///< requests/s
    double capacity_cost = 0; ///< token units/s
    std::vector<measurement> runs;

    const run_results* find(const std::string& scenario, const std::string& policy) const;
};

/// Returns the requests/s that the engines finish without a scheduler if each always has
/// max_in_flight requests. Sets cost to the cost of these requests in token units/s.
double measure_capacity(const deployment_config& deployment, std::uint64_t seed, double& cost);

std::vector<scenario_config> make_scenarios(double capacity, std::uint64_t seed);

/// Runs all policies whose name contains the filter in all scenarios.
deployment_measurements measure(const deployment_config& deployment, std::uint64_t seed,
                                const std::string& filter);

} // namespace almondline::bench
