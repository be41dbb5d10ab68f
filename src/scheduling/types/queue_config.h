#pragma once

#include "manifest/types/manifest.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace almondline::scheduling {

/// Configuration of one queue, derived from the manifest.
struct queue_config {
    std::vector<tier_policy> tiers; ///< most urgent first
    std::map<std::string, kind_policy> kinds;
    std::map<std::string, account_policy> accounts;
    std::size_t max_waiting = 1000;
    /// Share of the picks that go to the next group of tiers while a more urgent group has work, so
    /// that no group starves. 0: none.
    double yield_share = 0;
    /// A floor stays reserved for this long after the last arrival in its tier or kind.
    std::chrono::milliseconds demand_window{5000};
    /// A flow that has been non-empty for longer than this has a backlog.
    std::chrono::milliseconds backlog_after{1000};
    /// Bounds of a computed retry-after.
    std::chrono::milliseconds min_retry_after{100};
    std::chrono::milliseconds max_retry_after{60'000};
};

/// Returns the queue configuration for a service of the manifest.
queue_config make_queue_config(const manifest& m, const service_policy& service);

} // namespace almondline::scheduling
