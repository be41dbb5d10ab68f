#pragma once

#include "common/clock.h"
#include "standins/types/fault_order.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace almondline::standins {

/// Fault orders in force.
struct active_faults {
    struct entry {
        fault_order order;
        steady_time ends{}; ///< default value: no end
        int used = 0;
    };
    std::vector<entry> entries;
    std::uint64_t silenced_below = 0; ///< exchanges with a lower number are silent
};

void add_fault(active_faults& active, const fault_order& order, steady_time now);

/// Returns the oldest order of this kind that matches the request, and counts one use of it.
std::optional<fault_order> consume_fault(active_faults& active, fault_kind kind,
                                         std::string_view method, std::string_view path,
                                         steady_time now);

} // namespace almondline::standins
