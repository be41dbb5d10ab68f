#pragma once

#include <functional>
#include <string>
#include <vector>

namespace almondline::bench {

/// Least-squares line through points.
struct line_fit {
    double intercept = 0;
    double slope = 0;
    double residual = 0; ///< root mean square of the distances of the points
};

line_fit fit_line(const std::vector<double>& x, const std::vector<double>& y);

/// Operation whose processor time is measured at several sizes. New ones are added in all_slopes().
struct slope {
    std::string name;     ///< of the operation
    std::string variable; ///< what the sizes count
    std::vector<double> sizes;
    std::function<double(double size)> measure; ///< ns per operation
    double limit_ns = 0;                        ///< target at limit_size, 0: none
    double limit_size = 0;
    bool grows_as_log = false; ///< target: no faster than the logarithm of the size
};

std::vector<slope> all_slopes();

/// Measures the slopes whose name contains the filter and prints points, fits against the size and
/// its logarithm, and residuals. Returns false if a limit was exceeded.
bool run_slopes(const std::string& filter);

/// Returns the processor time of this process in ns.
double processor_ns();

} // namespace almondline::bench
