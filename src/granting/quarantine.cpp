#include "granting/quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace almondline::granting {

namespace {

using std::chrono::milliseconds;

/// Limits a request with a quarantined part that arrives just as the next trial is due.
constexpr milliseconds min_wait{1'000};

bool is_same_crash(const quarantine_settings& settings, const server_crash& a,
                   const server_crash& b)
{
    const auto apart = a.at < b.at ? b.at - a.at : a.at - b.at;
    return a.backend_id == b.backend_id && apart <= settings.crash_merge_window;
}

template <class Crashes>
bool contains(const quarantine_settings& settings, const Crashes& crashes,
              const server_crash& crash)
{
    return std::any_of(crashes.begin(), crashes.end(),
                       [&](const auto& it) { return is_same_crash(settings, it, crash); });
}

bool was_sound(const quarantine_table& table, prompt_part part)
{
    return table.sound.contains(part) || table.sound_before.contains(part);
}

bool is_quarantined(const quarantine_table& table, prompt_part part)
{
    const auto it = table.decisions.find(part);
    return it != table.decisions.end() && it->second.is_quarantined;
}

std::vector<prompt_part> quarantined_parts(const quarantine_table& table, const prompt_parts& parts)
{
    std::vector<prompt_part> out;
    if (table.decisions.empty()) {
        return out;
    }
    for (const auto it : parts) {
        if (is_quarantined(table, it) && std::find(out.begin(), out.end(), it) == out.end()) {
            out.push_back(it);
        }
    }
    return out;
}

void remove_oldest_suspect(quarantine_table& table)
{
    const auto oldest = std::min_element(
        table.suspects.begin(), table.suspects.end(),
        [](const auto& a, const auto& b) { return a.second.back().at < b.second.back().at; });
    table.suspects.erase(oldest);
}

void remove_idlest_decision(quarantine_table& table)
{
    const auto idlest = std::min_element(
        table.decisions.begin(), table.decisions.end(),
        [](const auto& a, const auto& b) { return a.second.last_seen < b.second.last_seen; });
    table.decisions.erase(idlest);
}

void set_decision(quarantine_table& table, const quarantine_decision& decision)
{
    table.decisions[decision.part] = decision;
    if (table.decisions.size() > table.settings.max_decisions) {
        remove_idlest_decision(table);
    }
}

/// Records a crash by quarantined parts: it does not count against any other part.
void explain(quarantine_table& table, const server_crash& crash)
{
    table.explained.push_back(crash);
    if (table.explained.size() > table.settings.max_suspects) {
        table.explained.pop_front();
    }
    for (auto it = table.suspects.begin(); it != table.suspects.end();) {
        auto& crashes = it->second;
        std::erase_if(crashes,
                      [&](const auto& own) { return is_same_crash(table.settings, own, crash); });
        it = crashes.empty() ? table.suspects.erase(it) : std::next(it);
    }
}

/// Puts off the next trial of the quarantined parts of a request that crashed its server. Requests
/// that were running when their part was quarantined are no trials.
void extend_quarantine(quarantine_table& table, const std::vector<prompt_part>& parts,
                       steady_time now)
{
    for (const auto it : parts) {
        auto& decision = table.decisions.at(it);
        if (std::exchange(decision.is_trial_running, false)) {
            decision.trial_interval =
                std::min(2 * decision.trial_interval, table.settings.max_trial_interval);
        }
        decision.next_trial = now + decision.trial_interval;
        decision.decided_at = now;
        decision.last_seen = now;
    }
}

bool is_cause(const quarantine_table& table, prompt_part part,
              const std::vector<server_crash>& crashes)
{
    if (crashes.size() < table.settings.crashes_until_quarantine) {
        return false;
    }
    const auto span = crashes.back().at - crashes.front().at;
    return !was_sound(table, part) || span >= table.settings.sound_crash_span;
}

/// Adds a crash to the parts that may have caused it, and returns those with enough of them.
std::vector<prompt_part> add_to_suspects(quarantine_table& table, const prompt_parts& parts,
                                         const server_crash& crash)
{
    std::vector<prompt_part> out;
    for (const auto part : parts) {
        auto& crashes = table.suspects[part];
        if (contains(table.settings, crashes, crash)) {
            continue;
        }
        if (crashes.size() >= table.settings.max_crashes_per_part) {
            crashes.pop_back();
        }
        crashes.push_back(crash);
        if (is_cause(table, part, crashes)) {
            out.push_back(part);
        }
    }
    while (table.suspects.size() > table.settings.max_suspects) {
        remove_oldest_suspect(table);
    }
    return out;
}

void quarantine(quarantine_table& table, const std::vector<prompt_part>& parts, steady_time now)
{
    const auto interval = table.settings.first_trial_after;
    // Parts that always came together can't be told apart: a request with only one of them may run
    // at once, and shows whether that one is the cause.
    const auto next_trial = parts.size() > 1 ? now : now + interval;
    std::vector<server_crash> crashes;
    for (const auto part : parts) {
        auto suspect = table.suspects.extract(part);
        if (suspect.empty()) {
            continue;
        }
        crashes.insert(crashes.end(), suspect.mapped().begin(), suspect.mapped().end());
        set_decision(table, {part, true, now, now, next_trial, interval});
    }
    for (const auto& it : crashes) {
        explain(table, it);
    }
}

/// Ends the quarantine of a part. Parts that could not be told apart from it are the cause, so that
/// they need no trial soon.
void end_quarantine(quarantine_table& table, quarantine_decision& ended, steady_time now)
{
    for (auto& [part, it] : table.decisions) {
        if (it.is_quarantined && it.decided_at == ended.decided_at) {
            it.next_trial = std::max(it.next_trial, now + it.trial_interval);
        }
    }
    ended.is_quarantined = false;
    ended.decided_at = now;
    ended.last_seen = now;
    ++table.changes;
}

} // namespace

std::vector<prompt_part> note_crash(quarantine_table& table, const crash_evidence& crash,
                                    steady_time now)
{
    const server_crash event{crash.backend_id, now};
    const auto known = quarantined_parts(table, crash.parts);
    if (!known.empty()) {
        if (!contains(table.settings, table.explained, event)) {
            extend_quarantine(table, known, now);
        }
        explain(table, event);
        return {};
    }
    if (contains(table.settings, table.explained, event)) {
        return {};
    }
    auto convicted = add_to_suspects(table, crash.parts, event);
    if (!convicted.empty()) {
        quarantine(table, convicted, now);
        ++table.changes;
    }
    return convicted;
}

std::vector<prompt_part> note_answer(quarantine_table& table, const prompt_parts& parts,
                                     steady_time now)
{
    const auto& settings = table.settings;
    if (now - table.sound_since >= settings.sound_period ||
        table.sound.size() >= settings.max_sound_parts) {
        table.sound_before = std::exchange(table.sound, {});
        table.sound_since = now;
    }
    table.sound.insert(parts.begin(), parts.end());
    if (!table.suspects.empty()) {
        for (const auto it : parts) {
            table.suspects.erase(it);
        }
    }
    auto cleared = quarantined_parts(table, parts);
    for (const auto it : cleared) {
        end_quarantine(table, table.decisions.at(it), now);
    }
    return cleared;
}

std::optional<milliseconds> quarantine_wait(const quarantine_table& table,
                                            const prompt_parts& parts, steady_time now)
{
    const auto found = quarantined_parts(table, parts);
    if (found.empty()) {
        return std::nullopt;
    }
    steady_time next_trial{};
    for (const auto it : found) {
        next_trial = std::max(next_trial, table.decisions.at(it).next_trial);
    }
    if (found.size() == 1 && now >= next_trial) {
        return std::nullopt;
    }
    return std::max(min_wait, std::chrono::ceil<milliseconds>(next_trial - now));
}

std::optional<milliseconds> admit(quarantine_table& table, const prompt_parts& parts,
                                  steady_time now)
{
    const auto wait = quarantine_wait(table, parts, now);
    for (const auto it : quarantined_parts(table, parts)) {
        auto& decision = table.decisions.at(it);
        decision.last_seen = now;
        if (!wait) {
            decision.next_trial = now + table.settings.trial_timeout;
            decision.is_trial_running = true;
        }
    }
    return wait;
}

bool apply_decision(quarantine_table& table, const quarantine_decision& decision, steady_time now)
{
    const auto it = table.decisions.find(decision.part);
    if (it == table.decisions.end()) {
        if (!decision.is_quarantined || now - decision.last_seen > table.settings.forget_after) {
            return false;
        }
        table.suspects.erase(decision.part);
        set_decision(table, decision);
        ++table.changes;
        return true;
    }
    auto& known = it->second;
    const auto last_seen = std::max(known.last_seen, decision.last_seen);
    const auto next_trial = std::max(known.next_trial, decision.next_trial);
    const bool was_quarantined = known.is_quarantined;
    const bool is_same_state = was_quarantined == decision.is_quarantined;
    // A copy of the known decision appears later by the time that its message took.
    const auto margin = is_same_state ? table.settings.copy_delay : milliseconds{0};
    if (decision.decided_at > known.decided_at + margin) {
        known = decision;
    }
    else if (is_same_state) {
        known.next_trial = next_trial; // the other instance may have started a trial since
    }
    known.last_seen = last_seen;
    const bool is_changed = known.is_quarantined != was_quarantined;
    table.changes += is_changed ? 1 : 0;
    return is_changed;
}

void prune(quarantine_table& table, steady_time now)
{
    const auto& settings = table.settings;
    std::erase_if(table.decisions, [&](const auto& it) {
        const auto& decision = it.second;
        return decision.is_quarantined ? now - decision.last_seen > settings.forget_after
                                       : now - decision.decided_at > settings.remember_end;
    });
    std::erase_if(table.suspects, [&](const auto& it) {
        return now - it.second.back().at > settings.crash_memory;
    });
    while (!table.explained.empty() && now - table.explained.front().at > settings.crash_memory) {
        table.explained.pop_front();
    }
}

std::size_t quarantined_count(const quarantine_table& table)
{
    return static_cast<std::size_t>(
        std::count_if(table.decisions.begin(), table.decisions.end(),
                      [](const auto& it) { return it.second.is_quarantined; }));
}

} // namespace almondline::granting
