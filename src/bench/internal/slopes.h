#pragma once

#include <functional>
#include <string>
#include <vector>

namespace almondline::bench {

/// Line through points by least squares.
struct line_fit {
    double intercept = 0;
    double slope = 0;
    double residual = 0; ///< root of the mean squared distance of the points
};

line_fit fit_line(const std::vector<double>& x, const std::vector<double>& y);

/// Processor time of an operation at several sizes. To add one, append it in all_slopes().
struct slope {
    std::string name;     ///< of the operation
    std::string variable; ///< what grows
    std::vector<double> sizes;
    std::function<double(double size)> measure; ///< ns per operation
    double limit_ns = 0;                        ///< target at limit_size, 0: none
    double limit_size = 0;
    bool grows_as_log = false; ///< target: no faster than the logarithm of the size
};

std::vector<slope> all_slopes();

/// Runs the slopes whose name contains the filter and prints points, fits against the size and its
/// logarithm, and residuals. Returns false if a limit was exceeded.
bool run_slopes(const std::string& filter);

/// Processor time of this process in ns.
double processor_ns();

} // namespace almondline::bench
