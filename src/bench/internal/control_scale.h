#pragma once

#include "bench/internal/control_roles.h"

#include <string>
#include <vector>

namespace almondline::bench {

/// Size and load of a fleet whose control cost is computed. Rates are peak rates; daily counts are
/// spread evenly over the day.
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

/// Returns the fleet expected in two years, as in docs/design.md.
fleet_scale two_year_scale();
/// Returns the larger of today's deployments, with the same request rate per replica.
fleet_scale today_scale();

/// Resources that control work may use on one instance.
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
    bool is_extrapolated = false; ///< a size is outside the measured range
};

bool is_within(const control_cost& cost, const control_budget& budget);

/// Returns the cost of each role, the granting costs under overload, and the sums for an ordinary
/// instance and for a candidate for placement control.
std::vector<control_cost> control_costs(const std::vector<control_role>& roles,
                                        const fleet_scale& scale);

/// Store calls per second of the whole fleet.
struct store_load {
    std::string name;
    double reads = 0;  ///< gets and started watches
    double writes = 0; ///< writes and lease calls
    double pending_watches = 0;
};

/// Returns the load of each kind of call, followed by the sum.
std::vector<store_load> store_loads(const std::vector<control_role>& roles,
                                    const fleet_scale& scale);

/// Returns the claims per second of the whole fleet at which the key-range records have room for
/// every claim until its retention time is over.
double sustained_claims(const std::vector<control_role>& roles);

/// Returns the points, fits and residuals, followed by the costs and store loads at both scales.
std::string format_control(const std::vector<control_role>& roles);
std::string format_control_tsv(const std::vector<control_role>& roles);
/// Returns a plot with one panel per series, showing its points and its linear fit.
std::string control_svg(const std::vector<control_role>& roles);

} // namespace almondline::bench
