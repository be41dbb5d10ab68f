#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondline::routing {

/// Properties of a request that the choice of a backend server depends on.
struct request_shape {
    std::string request_id;
    std::string model; ///< empty: any replica can serve the request
    double prompt_tokens = 0;
    double output_tokens = 0;                 ///< estimate
    std::vector<std::uint64_t> prefix_blocks; ///< chained hashes of the prompt's blocks, in order
    /// Prompt tokens up to the end of each block. Empty: all blocks have the same size.
    std::vector<std::int32_t> prefix_tokens;
    std::vector<std::string> excluded; ///< backend servers that must not be chosen
    std::string failure_domain;        ///< of the entry instance that will dispatch the request
    /// A first token within this time is on time, and an earlier one is no better. Not set: the
    /// earlier the better.
    std::optional<std::chrono::milliseconds> first_token_objective;
    /// Time until the response has to be complete. Not set: unknown.
    std::optional<std::chrono::milliseconds> time_left;
    bool leaves_headroom = false; ///< uses replicas that keep headroom only if no other is free
};

} // namespace almondline::routing
