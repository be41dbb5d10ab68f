#pragma once

#include <string>
#include <vector>

namespace almondline::gateway {

/// The credits that a request has asked for.
struct request_credits {
    std::string awaited;  ///< id under which the request waits for a credit, or waited last
    int hedges_asked = 0; ///< credits requested for servers beside silent ones
    std::vector<std::string> excluded; ///< servers that the request must not go to any more
};

} // namespace almondline::gateway
