#include "granting/pool_owner.h"

#include "common/hash.h"

#include <algorithm>
#include <iterator>

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

std::vector<membership::member> large_enough(const std::vector<membership::member>& members)
{
    double most = 0;
    for (const auto& it : members) {
        most = can_own(it) ? std::max(most, it.cores) : most;
    }
    std::vector<membership::member> out;
    std::copy_if(members.begin(), members.end(), std::back_inserter(out), [&](const auto& it) {
        return can_own(it) && it.cores >= least_part_of_cores * most;
    });
    return out;
}

} // namespace

pool_granter pool_owner(const std::string& pool, const std::vector<membership::member>& members,
                        const std::string& failure_domain)
{
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const auto& it : large_enough(members)) {
        all.push_back(it.id);
        if (it.failure_domain == failure_domain) {
            near.push_back(it.id);
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
