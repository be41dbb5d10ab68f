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

/// One measured figure of a control role at several sizes. For capacity planning.
struct control_line {
    std::string role;
    std::string figure;   ///< unique within the role
    std::string unit;     ///< of the values
    std::string variable; ///< what the sizes count
    std::vector<double> sizes;
    std::vector<double> values;
};

/// Lines of one role.
struct control_role {
    std::string name;
    std::vector<control_line> lines;

    /// Adds a point to the line of the figure, which is made by its first point.
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

/// Bytes in use on the heap, by malloc statistics.
double heap_bytes();

/// Least processor time of one of the calls in ns, over several batches: other work on the machine
/// only adds to the time.
double least_ns(int batch, const std::function<void()>& call);

/// Frame of a message in its real encoding.
std::string encode(const wire::envelope& message);

/// Message of a frame that encode() made.
wire::envelope decode(std::string_view frame);

} // namespace bench
} // namespace almondline
