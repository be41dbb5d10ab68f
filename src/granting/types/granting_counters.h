#pragma once

#include <cstdint>

namespace almondline::granting {

/// Totals since the start, for metrics.
struct granter_counters {
    std::uint64_t grants = 0;
    std::uint64_t repeated_grants = 0; ///< grants sent again for resent credit requests
    std::uint64_t refusals = 0;        ///< including sheds
    std::uint64_t sheds = 0;           ///< refused while waiting, other than unserved requests
    std::uint64_t expired_credits = 0;
    std::uint64_t late_confirmations = 0;
    std::uint64_t restored_holdings = 0;
    std::uint64_t lost_releases = 0; ///< detected by a holdings report without the credit
    std::uint64_t unresponsive_holders = 0;
};

struct credit_client_counters {
    std::uint64_t credit_requests = 0;
    std::uint64_t resent_credit_requests = 0;
    std::uint64_t surplus_grants = 0; ///< released immediately because no request waited for them
    std::uint64_t timed_out = 0;      ///< requests refused at their deadline
    std::uint64_t owner_changes = 0;
    std::uint64_t advertised_rates =
        0; ///< responses in which a backend server advertised a request rate
};

} // namespace almondline::granting
