#include "granting/internal/crash_judgement.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace almondline::granting {

namespace {

/// The unexplained crashes in which a fingerprint took part, one bit for each crash.
struct tally {
    fingerprint id = 0;
    std::uint64_t mask = 0;
    const server_crash* first = nullptr;
    const server_crash* last = nullptr;
    bool was_sound = false;

    int count() const { return std::popcount(mask); }
};

bool is_explained(const quarantine_table& table, const server_crash& crash)
{
    return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                       [&](auto id) { return is_quarantined(table, id); });
}

std::vector<tally> count_crashes(const quarantine_table& table)
{
    std::map<fingerprint, tally> by_id;
    std::uint64_t bit = 1;
    for (const auto& crash : table.crashes) {
        const auto own_bit = bit;
        bit <<= 1U;
        if (!crash.is_settled || is_explained(table, crash)) {
            continue;
        }
        for (const auto id : crash.suspects) {
            auto& it = by_id[id];
            it.id = id;
            it.mask |= own_bit;
            it.first = it.first == nullptr ? &crash : it.first;
            it.last = &crash;
        }
    }
    std::vector<tally> out;
    for (auto& [id, it] : by_id) {
        it.was_sound = last_answer(table, id).has_value();
        out.push_back(it);
    }
    return out;
}

std::chrono::milliseconds span_of(const tally& it)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(it.last->at - it.first->at);
}

bool is_enough(const quarantine_settings& settings, const tally& it)
{
    const bool has_span = !it.was_sound || span_of(it) >= settings.sound_crash_span;
    return it.count() >= settings.crashes_until_quarantine && has_span;
}

/// Returns whether the fingerprint took part in nearly all crashes of the best one, and explains
/// nearly as many.
bool is_alike(const quarantine_settings& settings, const tally& it, const tally& best)
{
    const int common = std::popcount(it.mask & best.mask);
    return it.count() + settings.rival_slack >= best.count() &&
           common + settings.rival_slack >= best.count();
}

} // namespace

bool is_quarantined(const quarantine_table& table, fingerprint id)
{
    const auto it = table.decisions.find(id);
    return it != table.decisions.end() && it->second.is_quarantined;
}

std::optional<steady_time> last_answer(const quarantine_table& table, fingerprint id)
{
    const auto& sound = is_whole_request(id) ? table.sound_requests : table.sound_parts;
    for (const auto* period : {&sound.current, &sound.previous}) {
        if (const auto it = period->find(id); it != period->end()) {
            return it->second;
        }
    }
    return std::nullopt;
}

std::vector<conviction> find_cause(const quarantine_table& table)
{
    const auto& settings = table.settings;
    auto tallies = count_crashes(table);
    const auto best =
        std::min_element(tallies.begin(), tallies.end(), [&](const auto& a, const auto& b) {
            const auto rank_of = [&](const tally& it) {
                return std::tuple{!is_enough(settings, it), it.was_sound, -it.count()};
            };
            return rank_of(a) < rank_of(b);
        });
    if (best == tallies.end() || !is_enough(settings, *best)) {
        return {};
    }
    const auto cause = *best;
    std::erase_if(tallies, [&](const auto& it) {
        return it.was_sound != cause.was_sound || !is_alike(settings, it, cause);
    });
    std::stable_sort(tallies.begin(), tallies.end(),
                     [](const auto& a, const auto& b) { return a.count() > b.count(); });
    tallies.resize(std::min(tallies.size(), settings.max_rivals + 1));
    std::vector<conviction> out;
    out.reserve(tallies.size());
    for (const auto& it : tallies) {
        out.push_back({it.id, static_cast<std::size_t>(it.count()), span_of(it), tallies.size() - 1,
                       it.was_sound, it.last->backend_id});
    }
    return out;
}

} // namespace almondline::granting
