#include "standins/internal/key_value_model.h"

#include <algorithm>

namespace almondline::standins {

bool consume_token(rate_limit& limit, steady_time now)
{
    if (limit.per_second <= 0) {
        return true;
    }
    if (limit.last == steady_time{}) {
        limit.tokens = limit.per_second;
        limit.last = now;
    }
    const std::chrono::duration<double> passed = now - limit.last;
    limit.last = now;
    limit.tokens = std::min(limit.per_second, limit.tokens + passed.count() * limit.per_second);
    if (limit.tokens < 1) {
        return false;
    }
    limit.tokens -= 1;
    return true;
}

swap_result compare_and_swap(key_value_model& model, const std::string& key, std::uint64_t expected,
                             const std::string& value, const std::string& lease)
{
    const auto it = model.values.find(key);
    const std::uint64_t current = it == model.values.end() ? 0 : it->second.revision;
    if (current != expected) {
        return {swap_status::conflict, current};
    }
    if (!lease.empty() && model.leases.count(lease) == 0) {
        return {swap_status::no_lease, current};
    }
    ++model.revision;
    model.values[key] = {value, model.revision, lease};
    return {swap_status::done, model.revision};
}

std::string grant_lease(key_value_model& model, std::chrono::milliseconds lifetime, steady_time now)
{
    std::string lease = "lease-" + std::to_string(model.next_lease++);
    model.leases[lease] = {lifetime, now + lifetime};
    return lease;
}

bool renew_lease(key_value_model& model, const std::string& lease, steady_time now)
{
    expire_leases(model, now);
    const auto it = model.leases.find(lease);
    if (it == model.leases.end()) {
        return false;
    }
    it->second.expires = now + it->second.lifetime;
    return true;
}

bool revoke_lease(key_value_model& model, const std::string& lease)
{
    if (model.leases.erase(lease) == 0) {
        return false;
    }
    // The deletion is a change too: a key that is created again gets a higher revision.
    ++model.revision;
    std::erase_if(model.values, [&lease](const auto& it) { return it.second.lease == lease; });
    return true;
}

bool expire_leases(key_value_model& model, steady_time now)
{
    std::vector<std::string> expired;
    for (const auto& [id, it] : model.leases) {
        if (it.expires <= now) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        revoke_lease(model, id);
    }
    return !expired.empty();
}

} // namespace almondline::standins
