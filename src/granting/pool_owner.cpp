#include "granting/pool_owner.h"

#include "common/hash.h"

#include <algorithm>

namespace almondline::granting {

namespace {

bool can_own(const membership::member& it)
{
    return it.status == membership::member_status::alive ||
           it.status == membership::member_status::suspect;
}

/// Granting uses more processor time than anything else that an instance does, so a pool owner on a
/// small machine would delay the whole fleet.
constexpr double min_core_share = 0.5;

} // namespace

std::vector<const membership::member*>
possible_owners(const std::vector<membership::member>& members)
{
    double max_cores = 0;
    for (const auto& it : members) {
        max_cores = can_own(it) ? std::max(max_cores, it.cores) : max_cores;
    }
    std::vector<const membership::member*> out;
    for (const auto& it : members) {
        if (can_own(it) && it.cores >= min_core_share * max_cores) {
            out.push_back(&it);
        }
    }
    return out;
}

pool_owner_id choose_pool_owner(const std::string& pool,
                                const std::vector<membership::member>& members,
                                const std::string& failure_domain)
{
    std::vector<std::string> in_domain;
    std::vector<std::string> all;
    for (const auto* it : possible_owners(members)) {
        all.push_back(it->id);
        if (it->failure_domain == failure_domain) {
            in_domain.push_back(it->id);
        }
    }
    const auto order = rendezvous_order(pool, in_domain.empty() ? all : in_domain);
    if (order.empty()) {
        return {};
    }
    for (const auto& it : members) {
        if (it.id == order.front()) {
            return {it.id, it.incarnation};
        }
    }
    return {};
}

} // namespace almondline::granting
