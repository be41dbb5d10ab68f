#pragma once

#include "http/client.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace almondline {

/// Limits of a client of the platform's services.
struct store_limits {
    http_timeouts timeouts{.connect = std::chrono::milliseconds{300},
                           .write = std::chrono::milliseconds{1'000},
                           .read = std::chrono::milliseconds{2'000}};
    std::size_t max_in_flight = 64; ///< gets, writes and lease calls
    std::size_t max_watches = 8;    ///< pending watches; each occupies a connection for a long time
    double calls_per_second = 100;  ///< sustained rate of calls
    double burst = 200;             ///< calls that may be made at once after a pause
};

/// Number of calls by kind, for metrics. The platform counts each call, and a pending watch as one.
/// A read that fails over is counted once for each address.
struct store_call_counts {
    std::uint64_t gets = 0;
    std::uint64_t watches = 0;
    std::uint64_t puts = 0;
    std::uint64_t lease_calls = 0;
    std::uint64_t failed = 0;       ///< calls without a usable response
    std::uint64_t throttled = 0;    ///< calls refused by a limit of this client, not sent
    std::uint64_t history_gone = 0; ///< watches whose history the service no longer has
    std::uint64_t restores = 0;     ///< times that the service returned from an older copy
    std::uint64_t lost_answers = 0; ///< writes that may have taken effect
};

} // namespace almondline
