#pragma once

#include <cstdint>

namespace almondline::granting {

/// Totals since the start, for metrics.
struct granter_counters {
    std::uint64_t grants = 0;
    std::uint64_t repeated_grants = 0; ///< answers to resent asks
    std::uint64_t refusals = 0;        ///< with sheds
    std::uint64_t sheds = 0;           ///< of asks that waited
    std::uint64_t expired_credits = 0;
    std::uint64_t late_confirmations = 0;
    std::uint64_t restored_holdings = 0;
    std::uint64_t lost_releases = 0; ///< found by a report that lacks the credit
    std::uint64_t silent_holders = 0;
};

struct credit_client_counters {
    std::uint64_t credit_requests = 0;
    std::uint64_t resent_credit_requests = 0;
    std::uint64_t surplus_grants = 0; ///< released at once
    std::uint64_t timed_out = 0;      ///< at the deadline
    std::uint64_t owner_changes = 0;
};

} // namespace almondline::granting
