#include "granting/pool_owner.h"

#include "common/hash.h"

namespace almondline::granting {

namespace {

bool can_own(const membership::member& it)
{
    return it.status == membership::member_status::alive ||
           it.status == membership::member_status::suspect;
}

} // namespace

pool_granter pool_owner(const std::string& pool, const std::vector<membership::member>& members,
                        const std::string& failure_domain)
{
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const auto& it : members) {
        if (!can_own(it)) {
            continue;
        }
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
