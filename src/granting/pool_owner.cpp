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

/// Granting takes more of a processor than anything else that an instance does: a small machine
/// would make the whole fleet wait.
constexpr double least_part_of_cores = 0.5;

} // namespace

std::vector<const membership::member*>
possible_owners(const std::vector<membership::member>& members)
{
    double most = 0;
    for (const auto& it : members) {
        most = can_own(it) ? std::max(most, it.cores) : most;
    }
    std::vector<const membership::member*> out;
    for (const auto& it : members) {
        if (can_own(it) && it.cores >= least_part_of_cores * most) {
            out.push_back(&it);
        }
    }
    return out;
}

pool_owner_id choose_pool_owner(const std::string& pool,
                                const std::vector<membership::member>& members,
                                const std::string& failure_domain)
{
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const auto* it : possible_owners(members)) {
        all.push_back(it->id);
        if (it->failure_domain == failure_domain) {
            near.push_back(it->id);
        }
    }
    const auto order = rendezvous_order(pool, near.empty() ? all : near);
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
