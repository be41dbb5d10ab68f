#pragma once

#include "common/clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondline::scheduling {

/// A request for a credit, with the properties that determine its place in the queue and the choice
/// of a backend server.
struct credit_request {
    std::string request_id;
    std::string holder; ///< entry instance that holds the caller's connection
    std::string account;
    std::string kind;
    std::string model; ///< empty unless the service serves models
    int tier = 0;      ///< index in the manifest's tiers, 0 is the most urgent
    double cost = 1.0; ///< estimated, in token units: token_cost()
    double prompt_tokens = 0;
    double output_tokens = 0;
    double allowance_cost = 0; ///< tokens that count against the account's allowance
    steady_time arrived{};
    steady_time deadline{};
    /// Latest dispatch that meets the latency objective. Epoch: there is no objective.
    steady_time dispatch_by{};
    steady_time complete_by{}; ///< time by which the response has to be complete. Epoch: unknown
    std::chrono::milliseconds estimated_service{0}; ///< minimum from dispatch to the end
    std::vector<std::uint64_t> prefix_blocks;       ///< chained hashes of the prompt's blocks
    /// Prompt tokens up to the end of each block. Empty: all blocks have the same size.
    std::vector<std::int32_t> prefix_tokens;
    /// Fingerprints of what the request has in common with others: the shared parts of its prompt,
    /// whatever comes before them, and the whole request.
    std::vector<std::uint64_t> fingerprints;
    std::vector<std::string> excluded; ///< backend servers that must not be offered again
};

} // namespace almondline::scheduling
