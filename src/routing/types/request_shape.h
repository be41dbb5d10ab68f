#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace almondline::routing {

/// What the choice of a backend server depends on.
struct request_shape {
    std::string request_id;
    std::string model; ///< empty: any replica serves it
    double prompt_tokens = 0;
    double output_tokens = 0;                 ///< estimate
    std::vector<std::uint64_t> prefix_blocks; ///< chained hashes of the prompt's blocks, in order
    std::vector<std::string> excluded;        ///< backend servers not to be chosen
    std::string failure_domain;               ///< of the entry instance that will dispatch
    bool leaves_headroom = false; ///< goes to replicas that keep headroom only if no other is free
};

} // namespace almondline::routing
