#pragma once

#include "bench/internal/slopes.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace almondline {
namespace wire {
class envelope;
} // namespace wire

namespace bench {

/// Values of one figure of a control role, measured at several sizes. For capacity planning.
struct control_series {
    std::string role;
    std::string figure;   ///< unique within the role
    std::string unit;     ///< of the values
    std::string variable; ///< what the sizes count
    std::vector<double> sizes;
    std::vector<double> values;
};

/// Measurements of one part of the control work, such as membership.
struct control_role {
    std::string name;
    std::vector<control_series> series;

    /// Adds a point to the series of a figure. The first point creates the series.
    void add(const std::string& figure, const std::string& unit, const std::string& variable,
             double size, double value);
};

std::vector<control_role> measure_control_roles();

control_role measure_frames();
control_role measure_granting();
control_role measure_membership();
control_role measure_manifest();
control_role measure_distribution();
control_role measure_idempotency();
control_role measure_placement();
control_role measure_decision_log();
control_role measure_store_calls();

/// Returns the bytes in use on the heap according to malloc's statistics.
double heap_bytes();

/// Returns the processor time per call in ns: the lowest mean of several batches, because other
/// work on the machine can only add to the time.
double min_ns_per_call(int batch, const std::function<void()>& call);

/// Returns the frame of a message as instances send it.
std::string encode(const wire::envelope& message);

/// Returns the message in a frame made by encode().
wire::envelope decode(std::string_view frame);

} // namespace bench
} // namespace almondline
