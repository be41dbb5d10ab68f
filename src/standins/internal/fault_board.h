#pragma once

#include "common/clock.h"
#include "standins/types/fault_order.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace almondline::standins {

/// Orders in force.
struct fault_board {
    struct entry {
        fault_order order;
        steady_time ends{}; ///< the default value: no end
        int used = 0;
    };
    std::vector<entry> entries;
    std::uint64_t silenced_below = 0; ///< exchanges with a lower number are silent
};

void add_fault(fault_board& board, const fault_order& order, steady_time now);

/// The oldest order of this kind that applies to the request. Counts as one use of it.
std::optional<fault_order> take_fault(fault_board& board, fault_kind kind, std::string_view method,
                                      std::string_view path, steady_time now);

} // namespace almondline::standins
