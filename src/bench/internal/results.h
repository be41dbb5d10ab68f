#pragma once

#include "bench/internal/workload.h"

#include <array>
#include <cstddef>
#include <vector>

namespace almondline::bench {

constexpr std::size_t tier_count = 3;
constexpr std::size_t account_count = 5;

/// Counters of one run. Rates and latencies are of the window only.
struct run_results {
    double window_from = 0;
    double window_to = 0;
    std::array<int, tier_count> waiting{}; ///< now, to detect inversions

    std::array<double, tier_count> finished{}; ///< in time, requests in the window
    std::array<double, tier_count> finished_cost{};
    std::array<double, tier_count> offered{};
    std::array<double, tier_count> offered_cost{};
    std::array<double, tier_count> shed{};
    std::array<std::vector<double>, tier_count> first_tokens;      ///< s
    std::array<std::vector<double>, account_count> account_tokens; ///< s to first token
    std::vector<double> gaps;                                      ///< per ms of length
    double prefilled = 0;
    double wasted = 0; ///< repeated, or for requests that did not end in time
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
    void add_arrival(const request& what);
    void add_end(const request& what);
    /// Call before the waiting counter of the shed request is lowered.
    void add_refusal(const request& what);
};

/// Value below which this share of the values lies. 0 if there are none.
double percentile(std::vector<double> values, double share);
double gap_percentile(const std::vector<double>& per_ms, double share);

} // namespace almondline::bench
