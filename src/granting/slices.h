#pragma once

#include "granting/pool_owner.h"
#include "manifest/types/manifest.h"
#include "membership/types/member.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// How the backend servers of a service are divided into slices with a granter each. Pure: every
/// instance computes the same from the lists of servers and members and the manifest.
namespace almondline::granting {

struct slice_settings {
    /// Servers in a slice of a model service, about. 0: services are not divided.
    std::size_t model_servers = 0;
    /// The same for a plain service, whose requests are shorter and so more frequent.
    std::size_t plain_servers = 0;
};

/// A pool and the share of the granting work that it brings, in any unit.
struct pool_load {
    std::string pool;
    double work = 1;
};

/// Number of slices for a service. A power of two, so that it rarely changes while servers come and
/// go; 1 for services of up to twice the servers of a slice.
std::size_t slice_count(std::size_t servers, std::size_t servers_per_slice);

/// Pool of a slice: the service itself if it is not divided.
std::string slice_name(std::string_view service, std::size_t slice, std::size_t slices);

/// Divides servers into slices whose sizes differ by one at most. A server that comes or goes moves
/// at most one other server at each border.
std::vector<std::vector<std::string>> divide_servers(std::vector<std::string> ids,
                                                     std::size_t slices);

/// Slices that requests of an account are spread over. Large accounts use all of them. A small one
/// keeps to few, because its allowance is divided among them and each part must be large beside
/// single requests. Accounts without an allowance use all.
std::size_t account_slice_count(double allowance, double total_allowance, std::size_t slices);

/// The slices of an account, by rendezvous hashing.
std::vector<std::size_t> account_slices(const std::string& service, const std::string& account,
                                        std::size_t count, std::size_t slices);

/// Granter of each pool: members that are large enough, by rendezvous hashing, none with more than
/// its part of the work as long as another one has less.
std::map<std::string, pool_owner_id> assign_owners(std::vector<pool_load> pools,
                                                   const std::vector<membership::member>& members);

} // namespace almondline::granting
