#include "granting/slices.h"

#include "common/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace almondline::granting {

namespace {

constexpr std::size_t max_undivided_ratio = 2; ///< of a service's servers to those of a slice
/// The part of an account's allowance in one slice is at most this share of the mean total
/// allowance of a slice.
constexpr double max_account_share = 0.25;
/// With two slices, an account is still served while one is overloaded or has no granter.
constexpr std::size_t min_account_slices = 2;

/// Equal share of the work for each member, rounded up.
double work_per_owner(const std::vector<pool_load>& pools, std::size_t members)
{
    const double all =
        std::accumulate(pools.begin(), pools.end(), 0.0,
                        [](double sum, const pool_load& it) { return sum + it.work; });
    return std::ceil(all / static_cast<double>(members));
}

} // namespace

std::size_t slice_count(std::size_t servers, std::size_t servers_per_slice)
{
    if (servers_per_slice == 0 || servers <= max_undivided_ratio * servers_per_slice) {
        return 1;
    }
    const double wanted = static_cast<double>(servers) / static_cast<double>(servers_per_slice);
    return std::size_t{1} << static_cast<unsigned>(std::lround(std::log2(wanted)));
}

std::string slice_name(std::string_view service, std::size_t slice, std::size_t slices)
{
    std::string name{service};
    if (slices > 1) {
        name += "/" + std::to_string(slice);
    }
    return name;
}

std::vector<std::vector<std::string>> divide_servers(std::vector<std::string> ids,
                                                     std::size_t slices)
{
    std::vector<std::pair<std::uint64_t, std::string>> ordered;
    ordered.reserve(ids.size());
    for (auto& it : ids) {
        ordered.emplace_back(stable_hash(it), std::move(it));
    }
    std::sort(ordered.begin(), ordered.end());
    std::vector<std::vector<std::string>> out(slices);
    for (std::size_t i = 0; i < ordered.size(); ++i) {
        out[i * slices / ordered.size()].push_back(std::move(ordered[i].second));
    }
    return out;
}

std::size_t account_slice_count(double allowance, double total_allowance, std::size_t slices)
{
    if (allowance <= 0 || total_allowance <= 0) {
        return slices;
    }
    const double share = allowance / total_allowance * static_cast<double>(slices);
    const double wanted = std::ceil(share / max_account_share);
    return std::clamp(static_cast<std::size_t>(wanted), std::min(min_account_slices, slices),
                      slices);
}

std::vector<std::size_t> account_slices(const std::string& service, const std::string& account,
                                        std::size_t count, std::size_t slices)
{
    const auto seed = stable_hash(service, stable_hash(account));
    std::vector<std::pair<std::uint64_t, std::size_t>> ordered;
    for (std::size_t i = 0; i < slices; ++i) {
        ordered.emplace_back(stable_hash(std::to_string(i), seed), i);
    }
    std::sort(ordered.begin(), ordered.end());
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < std::min(count, slices); ++i) {
        out.push_back(ordered[i].second);
    }
    return out;
}

std::map<std::string, pool_owner_id> assign_owners(std::vector<pool_load> pools,
                                                   const std::vector<membership::member>& members)
{
    std::map<std::string, pool_owner_id> out;
    const auto candidates = possible_owners(members);
    if (candidates.empty() || pools.empty()) {
        return out;
    }
    std::stable_sort(pools.begin(), pools.end(),
                     [](const auto& a, const auto& b) { return a.work > b.work; });
    const double owner_limit = work_per_owner(pools, candidates.size());
    std::map<std::string, double> work;
    std::map<std::string, pool_owner_id> owner_ids;
    std::vector<std::string> ids;
    for (const auto* it : candidates) {
        ids.push_back(it->id);
        owner_ids[it->id] = {it->id, it->incarnation};
    }
    for (const auto& it : pools) {
        const auto order = rendezvous_order(it.pool, ids);
        const double limit = std::max(owner_limit, it.work);
        const auto has_room = [&](const std::string& id) { return work[id] + it.work <= limit; };
        auto chosen = std::find_if(order.begin(), order.end(), has_room);
        if (chosen == order.end()) {
            chosen =
                std::min_element(order.begin(), order.end(),
                                 [&](const auto& a, const auto& b) { return work[a] < work[b]; });
        }
        work[*chosen] += it.work;
        out[it.pool] = owner_ids[*chosen];
    }
    return out;
}

} // namespace almondline::granting
