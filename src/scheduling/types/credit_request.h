#pragma once

#include "common/clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondline::scheduling {

/// What the queue knows of one waiting request.
struct credit_request {
    std::string request_id;
    std::string holder; ///< entry instance that holds the caller's connection
    std::string account;
    std::string kind;
    std::string model; ///< of a model service, else empty
    int tier = 0;      ///< index in the manifest's tiers, 0 is the most urgent
    double cost = 1.0; ///< estimated, in token units: token_cost()
    double prompt_tokens = 0;
    double output_tokens = 0;
    double allowance_cost = 0; ///< tokens that count against the account's allowance
    steady_time arrived{};
    steady_time deadline{};
    /// Dispatched later, the request misses its latency objective. Epoch: it has none.
    steady_time dispatch_by{};
    steady_time complete_by{}; ///< the response has to be complete by then. Epoch: not known
    std::chrono::milliseconds estimated_service{0}; ///< least time from dispatch to the end
    std::vector<std::uint64_t> prefix_blocks;       ///< chained hashes of the prompt's blocks
    /// Prompt tokens up to the end of each block. Empty: all blocks are of one size.
    std::vector<std::int32_t> prefix_tokens;
    std::vector<std::string> excluded; ///< backend servers not to be offered again
};

} // namespace almondline::scheduling
