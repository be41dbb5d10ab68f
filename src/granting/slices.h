#pragma once

#include "granting/pool_owner.h"
#include "manifest/types/manifest.h"
#include "membership/types/member.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Divides the backend servers of a service into slices, each with its own granter. All functions
/// are pure, so that every instance computes the same result from the server list, the member list
/// and the manifest.
namespace almondline::granting {

struct slice_settings {
    /// Approximate number of servers in a slice of a model service. 0: not divided.
    std::size_t model_servers = 0;
    /// The same for a plain service, whose requests are shorter and therefore more frequent.
    std::size_t plain_servers = 0;
};

/// A pool and its granting work, in any unit common to all pools.
struct pool_load {
    std::string pool;
    double work = 1;
};

/// Returns the number of slices for a service: 1 if it has at most twice as many servers as a
/// slice, otherwise a power of two, so that the number rarely changes when servers are added or
/// removed.
std::size_t slice_count(std::size_t servers, std::size_t servers_per_slice);

/// Returns the pool name of a slice: "service/slice", or the service's name if it has one slice.
std::string slice_name(std::string_view service, std::size_t slice, std::size_t slices);

/// Divides servers into slices whose sizes differ by at most one. Adding or removing a server moves
/// at most one other server across each boundary between two slices.
std::vector<std::vector<std::string>> divide_servers(std::vector<std::string> ids,
                                                     std::size_t slices);

/// Returns the number of slices that the requests of an account are spread over. Large accounts use
/// all slices. Small ones use few, because their allowance is divided among the slices and each
/// part must be large compared to a single request. Accounts without an allowance limit use all.
std::size_t account_slice_count(double allowance, double total_allowance, std::size_t slices);

/// Returns the slices of an account, chosen by rendezvous hashing. A larger count only adds slices.
std::vector<std::size_t> account_slices(const std::string& service, const std::string& account,
                                        std::size_t count, std::size_t slices);

/// Returns the owner of each pool, chosen by rendezvous hashing among the possible owners. No owner
/// gets more than an equal share of the work, rounded up, except for a pool whose work alone
/// exceeds that share. A pool that fits nowhere goes to the owner with the least work. Returns an
/// empty map if there is no possible owner.
std::map<std::string, pool_owner_id> assign_owners(std::vector<pool_load> pools,
                                                   const std::vector<membership::member>& members);

} // namespace almondline::granting
