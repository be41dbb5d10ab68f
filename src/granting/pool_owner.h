#pragma once

#include "membership/types/member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondline::granting {

/// Granter of a pool. The incarnation is part of it: a restarted instance has lost its queue, and
/// asks have to be sent again.
struct pool_owner_id {
    std::string instance_id; ///< empty if there is none
    std::int64_t incarnation = 0;

    bool operator==(const pool_owner_id&) const = default;
};

/// Members that may own pools: alive or suspect, with at least half of the processor cores of the
/// largest one.
std::vector<const membership::member*>
possible_owners(const std::vector<membership::member>& members);

/// Chooses the granter by rendezvous hashing over the possible owners, first among those of the
/// pool's failure domain. A suspect keeps its pools until it refutes the suspicion or is declared
/// dead, so that a slow instance does not move queues back and forth.
pool_owner_id choose_pool_owner(const std::string& pool,
                                const std::vector<membership::member>& members,
                                const std::string& failure_domain);

} // namespace almondline::granting
