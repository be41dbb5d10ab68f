#include "gateway/address_choice.h"

#include "common/hash.h"

#include <algorithm>

namespace almondline::gateway {

std::vector<membership::member> choose_addresses(std::vector<membership::member> instances,
                                                 const std::string& failure_domain,
                                                 std::size_t limit)
{
    if (instances.size() <= limit) {
        return instances;
    }
    struct ranked {
        bool is_remote = false;
        std::uint64_t weight = 0;
        const membership::member* instance = nullptr;
    };
    const auto seed = stable_hash(failure_domain);
    std::vector<ranked> ranking;
    ranking.reserve(instances.size());
    for (const auto& it : instances) {
        ranking.push_back({it.failure_domain != failure_domain, stable_hash(it.id, seed), &it});
    }
    std::sort(ranking.begin(), ranking.end(), [](const ranked& a, const ranked& b) {
        return a.is_remote != b.is_remote ? b.is_remote : a.weight < b.weight;
    });
    std::vector<membership::member> out;
    out.reserve(limit);
    for (std::size_t i = 0; i < limit; ++i) {
        out.push_back(*ranking[i].instance);
    }
    return out;
}

} // namespace almondline::gateway
