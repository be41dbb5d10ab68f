#include "balance/slice_choice.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

namespace almondline::balance {

namespace {

/// Load of a slice without usable slots.
constexpr double unusable_load = 1e6;

/// Generator of random numbers from the bits of a request (splitmix64). The standard generators
/// need thousands of bytes of state for the few numbers of one choice.
struct number_sequence {
    std::uint64_t state = 0;

    std::uint64_t next()
    {
        state += 0x9e3779b97f4a7c15ULL;
        auto it = state;
        it = (it ^ (it >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        it = (it ^ (it >> 27U)) * 0x94d049bb133111ebULL;
        return it ^ (it >> 31U);
    }

    std::size_t below(std::size_t limit) { return static_cast<std::size_t>(next() % limit); }

    /// Returns a number from 0 to 1.
    double fraction() { return static_cast<double>(next() >> 11U) * 0x1p-53; }
};

/// A slice that is compared with others.
struct candidate {
    const std::string* pool = nullptr;
    const load_record* record = nullptr; ///< null: nothing is known
    double load = 0;
};

std::vector<candidate> draw_candidates(const load_table& table,
                                       const std::vector<std::string>& pools, int tier,
                                       number_sequence& random, steady_time now)
{
    std::vector<std::size_t> order(pools.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto count = std::min(table.settings.candidates, pools.size());
    std::vector<candidate> out;
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(order[i], order[i + random.below(order.size() - i)]);
        const auto& pool = pools[order[i]];
        const auto* record = find_load(table, pool, now);
        out.push_back({&pool, record, record == nullptr ? 0 : load_ahead(*record, tier)});
    }
    return out;
}

compared_slice describe(const candidate& it)
{
    return {*it.pool, it.record == nullptr ? std::nullopt : std::optional{it.load}};
}

double mean_load(const std::vector<candidate>& candidates)
{
    double sum = 0;
    int known = 0;
    for (const auto& it : candidates) {
        if (it.record != nullptr && it.load < unusable_load) {
            sum += it.load;
            ++known;
        }
    }
    return known == 0 ? 0 : sum / known;
}

double weight_of(const balance_settings& settings, const candidate& it, double mean,
                 steady_time now)
{
    if (it.record == nullptr) {
        return 1;
    }
    const std::chrono::duration<double> age = now - it.record->received;
    const std::chrono::duration<double> min_interval = settings.min_interval;
    const auto interval = std::max({age, it.record->interval, min_interval});
    const double correction_time = settings.correction_intervals * interval.count();
    const double gain = 1 / (settings.requests_per_slot * correction_time);
    return std::max(settings.min_weight, 1 + gain * (mean - it.load));
}

} // namespace

double load_ahead(const load_record& record, int tier)
{
    const auto& load = record.load;
    if (load.slots <= 0) {
        return unusable_load;
    }
    const auto tiers =
        std::min(load.waiting.size(), static_cast<std::size_t>(std::max(0, tier)) + 1);
    const auto waiting = std::accumulate(
        load.waiting.begin(), load.waiting.begin() + static_cast<std::ptrdiff_t>(tiers), 0);
    return static_cast<double>(load.slots - load.free_slots + waiting + record.sent) / load.slots;
}

bool may_take(const load_record& record, int tier)
{
    const auto& load = record.load;
    if (load.slots <= 0) {
        return false;
    }
    const auto waiting = std::accumulate(load.waiting.begin(), load.waiting.end(), 0);
    const bool has_free_slot = load.free_slots > waiting + record.sent;
    const auto lowest_waiting = static_cast<int>(load.waiting.size()) - 1;
    return has_free_slot || std::max(lowest_waiting, load.lowest_running) > tier;
}

slice_choice choose_slice(const load_table& table, const std::vector<std::string>& pools,
                          const slice_request& request, steady_time now)
{
    if (pools.empty()) {
        return {};
    }
    number_sequence random{request.random};
    const auto candidates = draw_candidates(table, pools, request.tier, random, now);
    const double mean = mean_load(candidates);
    std::vector<double> weights;
    slice_choice out;
    for (const auto& it : candidates) {
        weights.push_back(weight_of(table.settings, it, mean, now));
        out.compared.push_back(describe(it));
    }
    double left = random.fraction() * std::accumulate(weights.begin(), weights.end(), 0.0);
    std::size_t chosen = 0;
    while (chosen + 1 < weights.size() && left >= weights[chosen]) {
        left -= weights[chosen++];
    }
    out.pool = *candidates[chosen].pool;
    return out;
}

slice_choice choose_overflow(const load_table& table, const std::vector<std::string>& pools,
                             const slice_request& request, steady_time now)
{
    std::vector<const std::string*> unknown;
    std::optional<candidate> best;
    for (const auto& it : pools) {
        const auto* record = find_load(table, it, now);
        if (record == nullptr) {
            unknown.push_back(&it);
            continue;
        }
        const candidate known{&it, record, load_ahead(*record, request.tier)};
        if (may_take(*record, request.tier) && (!best || known.load < best->load)) {
            best = known;
        }
    }
    if (best) {
        return {*best->pool, {describe(*best)}};
    }
    if (unknown.empty()) {
        return {};
    }
    number_sequence random{request.random};
    return {*unknown[random.below(unknown.size())], {}};
}

} // namespace almondline::balance
