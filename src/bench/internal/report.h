#pragma once

#include "bench/internal/measure.h"

#include <string>
#include <vector>

namespace almondline::bench {

/// One target of the design page and the value measured for it.
struct target_result {
    std::string deployment;
    std::string target;
    std::string figure;
    bool is_met = false;
};

std::string format_table(const deployment_measurements& all);
std::string format_tsv(const std::vector<deployment_measurements>& all);
std::vector<target_result> check_targets(const deployment_measurements& all);
std::string format_targets(const std::vector<target_result>& all);

/// Returns a bar chart of a column of the TSV, with a group per deployment and scenario and a bar
/// per policy.
std::string plot_svg(const std::string& tsv, const std::string& column);

} // namespace almondline::bench
