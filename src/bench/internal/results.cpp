#include "bench/internal/results.h"
#include "scheduling/types/token_cost.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace almondline::bench {

namespace {

constexpr std::size_t max_gap_ms = 5000;

} // namespace

void run_results::add_gaps(double now, double length, int count)
{
    if (!in_window(now) || count == 0) {
        return;
    }
    gaps.resize(max_gap_ms + 1);
    const auto ms = std::min(max_gap_ms, static_cast<std::size_t>(std::lround(length * 1000)));
    gaps[ms] += count;
}

void run_results::add_arrival(const simulated_request& request)
{
    requests += 1;
    if (in_window(request.arrived)) {
        const auto tier = static_cast<std::size_t>(request.tier);
        offered[tier] += 1;
        offered_cost[tier] += scheduling::token_cost(request.prompt, request.output);
    }
}

void run_results::add_end(const simulated_request& request)
{
    const auto tier = static_cast<std::size_t>(request.tier);
    const bool is_good = request.end == outcome::finished;
    if (in_window(request.finished)) {
        prefilled += request.prefilled;
        wasted += is_good ? request.repeated : request.prefilled;
        finished[tier] += is_good ? 1 : 0;
        finished_cost[tier] += is_good ? scheduling::token_cost(request.prompt, request.output) : 0;
    }
    if (in_window(request.arrived) && request.first_token > 0) {
        const double time = request.first_token - request.arrived;
        first_tokens[tier].push_back(time);
        account_first_tokens[static_cast<std::size_t>(request.account)].push_back(time);
    }
}

void run_results::add_refusal(const simulated_request& request)
{
    const auto tier = static_cast<std::size_t>(request.tier);
    shed[tier] += in_window(request.arrived) ? 1 : 0;
    const bool lower_waits =
        std::any_of(waiting.begin() + request.tier + 1, waiting.end(), [](int n) { return n > 0; });
    if (request.end == outcome::shed || request.end == outcome::engine_refused) {
        inversions += lower_waits ? 1 : 0;
    }
    else if (request.end == outcome::deadline) {
        deadline_above_waiting += lower_waits ? 1 : 0;
    }
    engine_refusals += request.end == outcome::engine_refused ? 1 : 0;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

double gap_percentile(const std::vector<double>& per_ms, double share)
{
    const double all = std::accumulate(per_ms.begin(), per_ms.end(), 0.0);
    double seen = 0;
    for (std::size_t ms = 0; ms < per_ms.size(); ++ms) {
        seen += per_ms[ms];
        if (seen >= share * all && all > 0) {
            return static_cast<double>(ms) / 1000;
        }
    }
    return 0;
}

} // namespace almondline::bench
