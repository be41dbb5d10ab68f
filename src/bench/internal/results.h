#pragma once

#include "bench/internal/workload.h"

#include <array>
#include <cstddef>
#include <vector>

namespace almondline::bench {

constexpr std::size_t tier_count = 3;
constexpr std::size_t account_count = 5;

/// Counters of one run. Rates and latencies cover the window only.
struct run_results {
    double window_from = 0;
    double window_to = 0;
    std::array<int, tier_count> waiting{}; ///< requests waiting now, to detect inversions

    std::array<double, tier_count> finished{}; ///< requests finished in time, in the window
    std::array<double, tier_count> finished_cost{};
    std::array<double, tier_count> offered{};
    std::array<double, tier_count> offered_cost{};
    std::array<double, tier_count> shed{};
    std::array<std::vector<double>, tier_count> first_tokens; ///< s from arrival to first token
    std::array<std::vector<double>, account_count> account_first_tokens; ///< the same by account
    std::vector<double> gaps; ///< number of gaps between tokens, by length in ms
    double prefilled = 0;     ///< prompt tokens computed
    double wasted = 0; ///< of these, computed again or for requests that did not finish in time
    long inversions = 0;
    long deadline_above_waiting = 0; ///< deadline refusals while a lower tier waited
    long unknown = 0;                ///< requests whose fate is unknown to their caller
    long preemptions = 0;
    long engine_refusals = 0;
    double messages = 0;
    double message_bytes = 0;
    double requests = 0;

    bool in_window(double time) const { return time >= window_from && time < window_to; }
    double window() const { return window_to - window_from; }
    void add_gaps(double now, double length, int count);
    void add_arrival(const simulated_request& request);
    void add_end(const simulated_request& request);
    /// Counts a refused request, and an inversion if it was shed while a lower tier waits.
    void add_refusal(const simulated_request& request);
};

/// Returns the value below which the given share of the values lies, or 0 if there are none.
double percentile(std::vector<double> values, double share);
/// Returns the percentile in s of gaps that are counted by length in ms.
double gap_percentile(const std::vector<double>& per_ms, double share);

} // namespace almondline::bench
