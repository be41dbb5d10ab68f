#pragma once

#include <vector>

namespace almondline::balance {

/// State of a slice as its granter reported it.
struct slice_load {
    int slots = 0; ///< of all usable backend servers
    int free_slots = 0;
    std::vector<int> waiting;  ///< requests by tier, most urgent first; missing tiers have none
    int lowest_running = none; ///< least urgent tier that has requests in progress

    static constexpr int none = -1;
};

} // namespace almondline::balance
