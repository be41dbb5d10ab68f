#pragma once

#include "membership/types/member.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace almondline::gateway {

/// Returns the instances that callers in a failure domain may use, at most limit.
using address_source = std::function<std::vector<membership::member>(
    const std::string& failure_domain, std::size_t limit)>;

/// Selects at most limit instances whose addresses callers in a failure domain receive. Returns all
/// if there are at most that many, otherwise prefers instances of the callers' own domain. The
/// selection is the same for all callers in a domain and uses rendezvous hashing, so that few
/// connections are closed when instances join or leave.
std::vector<membership::member> choose_addresses(std::vector<membership::member> instances,
                                                 const std::string& failure_domain,
                                                 std::size_t limit);

} // namespace almondline::gateway
