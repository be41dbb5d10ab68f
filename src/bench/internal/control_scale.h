#pragma once

#include "bench/internal/control_line.h"

#include <string>
#include <vector>

namespace almondline::bench {

/// A fleet whose control cost is computed. Rates are at peak, counts a day are spread evenly.
struct fleet_scale {
    std::string name;
    double instances = 0;
    double failure_domains = 0;
    double replicas = 0;
    double replicas_per_slice = 0;
    double requests_per_second = 0;
    double accounts = 0;
    double changes_per_day = 0;
    double member_changes_per_day = 0; ///< failures and restarts
};

/// Two years from now, as in docs/design.md.
fleet_scale two_year_scale();
/// The larger of today's deployments, at the same requests per replica.
fleet_scale today_scale();

/// What control may take of one instance.
struct control_budget {
    double core_share = 0.036;
    double memory_bytes = 256e6;
    double bytes_per_second = 18e3; ///< sent and received
};

/// Cost of one role on one instance.
struct control_cost {
    std::string name;
    double core_share = 0;
    double memory_bytes = 0;
    double bytes_per_second = 0;  ///< sent and received
    bool is_extrapolated = false; ///< a size lies outside of the measured ones
};

bool is_within(const control_cost& cost, const control_budget& budget);

/// Cost of each role, then the sums of an ordinary instance and of a candidate for placement
/// control.
std::vector<control_cost> control_costs(const std::vector<control_role>& roles,
                                        const fleet_scale& scale);

/// Store calls a second of the whole fleet.
struct store_load {
    std::string name;
    double reads = 0;  ///< gets and started watches
    double writes = 0; ///< writes and lease calls
    double pending_watches = 0;
};

/// Calls of each kind, then their sum.
std::vector<store_load> store_loads(const std::vector<control_role>& roles,
                                    const fleet_scale& scale);

/// Claims a second of the fleet that the key-range records can keep for their retention.
double sustained_claims(const std::vector<control_role>& roles);

/// Points, fits and residuals, then costs and store loads at both scales.
std::string format_control(const std::vector<control_role>& roles);
std::string format_control_tsv(const std::vector<control_role>& roles);
/// One panel for each line, with its points and its fit.
std::string control_svg(const std::vector<control_role>& roles);

} // namespace almondline::bench
