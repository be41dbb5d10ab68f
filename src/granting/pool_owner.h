#pragma once

#include "membership/types/member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondline::granting {

/// Identifies the instance that owns a pool and grants its slots. Includes the incarnation, because
/// a restarted instance has lost its queue and credit requests have to be resent to it.
struct pool_owner_id {
    std::string instance_id; ///< empty if the pool has no owner
    std::int64_t incarnation = 0;

    bool operator==(const pool_owner_id&) const = default;
};

/// Returns the members that may own pools: alive or suspect, with at least half as many processor
/// cores as the largest of these.
std::vector<const membership::member*>
possible_owners(const std::vector<membership::member>& members);

/// Chooses the owner of a pool by rendezvous hashing over the possible owners in the failure
/// domain, or over all possible owners if it has none. A suspect member keeps its pools until it is
/// declared dead, so that queues do not move back and forth when an instance is slow. Returns an
/// empty id if there is no possible owner.
pool_owner_id choose_pool_owner(const std::string& pool,
                                const std::vector<membership::member>& members,
                                const std::string& failure_domain);

} // namespace almondline::granting
