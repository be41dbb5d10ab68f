#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
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
    /// Prompt tokens up to the end of each block. Empty: all blocks are of one size.
    std::vector<std::int32_t> prefix_tokens;
    std::vector<std::string> excluded; ///< backend servers not to be chosen
    std::string failure_domain;        ///< of the entry instance that will dispatch
    /// A first token within this time is on time; a faster one is not better. Not set: the faster
    /// the better.
    std::optional<std::chrono::milliseconds> first_token_objective;
    /// Until the response has to be complete. Not set: not known.
    std::optional<std::chrono::milliseconds> time_left;
    bool leaves_headroom = false; ///< goes to replicas that keep headroom only if no other is free
};

} // namespace almondline::routing
