#include "granting/quarantine.h"

#include "granting/internal/crash_judgement.h"
#include "granting/types/credit.h"

#include <algorithm>
#include <utility>

namespace almondline::granting {

namespace {

using std::chrono::milliseconds;

/// Limits a request that arrives just as the next trial is due.
constexpr milliseconds min_wait{1'000};

bool contains(const fingerprints& ids, fingerprint id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

fingerprints quarantined_of(const quarantine_table& table, const fingerprints& ids)
{
    fingerprints out;
    if (table.decisions.empty()) {
        return out;
    }
    for (const auto id : ids) {
        if (is_quarantined(table, id) && !contains(out, id)) {
            out.push_back(id);
        }
    }
    return out;
}

/// Removes a fingerprint from all crashes, which do not count against it any more.
void remove_suspect(quarantine_table& table, fingerprint id)
{
    if (table.suspects.erase(id) == 0) {
        return;
    }
    for (auto& it : table.crashes) {
        it.suspects.erase(id);
    }
}

void set_decision(quarantine_table& table, const quarantine_decision& decision)
{
    if (table.decisions.size() >= table.settings.max_decisions &&
        !table.decisions.contains(decision.id)) {
        const auto idlest = std::min_element(
            table.decisions.begin(), table.decisions.end(),
            [](const auto& a, const auto& b) { return a.second.last_seen < b.second.last_seen; });
        remove_suspect(table, idlest->first);
        table.decisions.erase(idlest);
    }
    table.decisions[decision.id] = decision;
}

void note_own_change(quarantine_table& table)
{
    ++table.changes;
    ++table.own_changes;
}

/// Ends a quarantine. The crashes that it explained count against others again.
void end_quarantine(quarantine_table& table, fingerprint id, steady_time now)
{
    auto& decision = table.decisions.at(id);
    decision.is_quarantined = false;
    decision.decided_at = now;
    decision.last_seen = now;
    decision.rivals.clear();
    table.is_judgement_due = true;
    note_own_change(table);
}

/// Makes a fingerprint without rivals wait for its next trial: it is the cause.
void note_certain(quarantine_table& table, quarantine_decision& decision, steady_time now)
{
    decision.decided_at = now;
    decision.trial_interval = std::max(decision.trial_interval, table.settings.first_trial_after);
    decision.next_trial = std::max(decision.next_trial, now + decision.trial_interval);
    note_own_change(table);
}

/// Removes a fingerprint that is not the cause from the rivals of all others.
void drop_rival(quarantine_table& table, fingerprint ended, steady_time now)
{
    for (auto& [id, it] : table.decisions) {
        if (it.is_quarantined && std::erase(it.rivals, ended) > 0 && it.rivals.empty()) {
            note_certain(table, it, now);
        }
    }
}

/// Ends the quarantines of fingerprints with a rival that is the cause.
void end_explained_rivals(quarantine_table& table, steady_time now)
{
    for (auto& [id, it] : table.decisions) {
        const bool is_explained =
            it.is_quarantined && std::any_of(it.rivals.begin(), it.rivals.end(), [&](auto rival) {
                return is_quarantined(table, rival) && table.decisions.at(rival).rivals.empty();
            });
        if (is_explained) {
            end_quarantine(table, id, now);
        }
    }
}

/// Applies a crash during a trial: the cause is among the fingerprints that took part in it.
void narrow_rivals(quarantine_table& table, quarantine_decision& decision,
                   const server_crash& crash, steady_time now)
{
    const auto removed =
        std::erase_if(decision.rivals, [&](auto id) { return !crash.suspects.contains(id); });
    if (removed > 0 && decision.rivals.empty()) {
        note_certain(table, decision, now);
    }
}

/// Puts off the next trial of a fingerprint that crashed another server. Requests that were running
/// when it was quarantined are no trials.
void extend_quarantine(const quarantine_table& table, quarantine_decision& decision, bool was_trial,
                       steady_time now)
{
    decision.last_seen = now;
    if (was_trial) {
        decision.is_trial_running = false;
    }
    if (was_trial && decision.rivals.empty()) {
        decision.trial_interval =
            std::min(table.settings.trial_interval_factor * decision.trial_interval,
                     table.settings.max_trial_interval);
    }
    if (was_trial || decision.rivals.empty()) {
        decision.next_trial = now + decision.trial_interval;
        decision.decided_at = now;
    }
}

/// Applies a crash that quarantined fingerprints explain to their quarantines.
void apply_explained(quarantine_table& table, const server_crash& crash, steady_time now)
{
    for (const auto id : quarantined_of(table, {crash.suspects.begin(), crash.suspects.end()})) {
        auto& decision = table.decisions.at(id);
        const bool was_trial = contains(crash.trial, id);
        if (was_trial) {
            narrow_rivals(table, decision, crash, now);
        }
        extend_quarantine(table, decision, was_trial, now);
    }
    end_explained_rivals(table, now);
}

void settle_crashes(quarantine_table& table, steady_time now)
{
    for (auto& it : table.crashes) {
        if (!it.is_settled && now - it.reported >= table.settings.settle_time) {
            it.is_settled = true;
            table.is_judgement_due = true;
            apply_explained(table, it, now);
        }
    }
}

void quarantine(quarantine_table& table, const std::vector<conviction>& group, steady_time now)
{
    const auto& settings = table.settings;
    for (const auto& it : group) {
        quarantine_decision decision{it.id, true, now, now, now, settings.sound_trial_after, {}};
        for (const auto& other : group) {
            if (other.id != it.id) {
                decision.rivals.push_back(other.id);
            }
        }
        if (decision.rivals.empty()) {
            decision.trial_interval =
                it.was_sound ? settings.sound_trial_after : settings.first_trial_after;
            decision.next_trial = now + decision.trial_interval;
        }
        set_decision(table, decision);
    }
    note_own_change(table);
}

void remember_answer(sound_fingerprints& sound, const quarantine_settings& settings, fingerprint id,
                     steady_time now)
{
    if (now - sound.since >= settings.sound_period || sound.current.size() >= settings.max_sound) {
        sound.previous = std::exchange(sound.current, {});
        sound.since = now;
    }
    sound.current[id] = now;
}

void forget_oldest_crash(quarantine_table& table)
{
    for (const auto id : table.crashes.front().suspects) {
        const auto it = table.suspects.find(id);
        if (--it->second == 0) {
            table.suspects.erase(it);
        }
    }
    table.crashes.pop_front();
}

std::size_t suspect_count(const quarantine_table& table)
{
    std::size_t out = 0;
    for (const auto& it : table.crashes) {
        out += it.suspects.size();
    }
    return out;
}

/// Makes room for a suspect of another crash too, which may be the cause, by removing one of this
/// crash alone. Returns false if there is none.
bool remove_unshared_suspect(quarantine_table& table, server_crash& crash)
{
    const auto it = std::find_if(crash.suspects.begin(), crash.suspects.end(),
                                 [&](auto id) { return table.suspects.at(id) == 1; });
    if (it == crash.suspects.end()) {
        return false;
    }
    table.suspects.erase(*it);
    crash.suspects.erase(it);
    return true;
}

void add_suspect(quarantine_table& table, server_crash& crash, fingerprint id)
{
    if (crash.suspects.contains(id)) {
        return;
    }
    const bool is_full = crash.suspects.size() >= table.settings.max_suspects_per_crash;
    if (is_full && (!table.suspects.contains(id) || !remove_unshared_suspect(table, crash))) {
        return;
    }
    crash.suspects.insert(id);
    ++table.suspects[id];
}

server_crash& find_or_add_crash(quarantine_table& table, const std::string& backend_id,
                                steady_time at, steady_time now)
{
    for (auto it = table.crashes.rbegin(); it != table.crashes.rend(); ++it) {
        const auto apart = std::max(at - it->at, it->at - at);
        if (it->backend_id == backend_id && apart <= table.settings.crash_merge_window) {
            return *it;
        }
    }
    if (table.crashes.size() >= table.settings.max_crashes) {
        forget_oldest_crash(table);
    }
    const auto next = std::find_if(table.crashes.begin(), table.crashes.end(),
                                   [&](const auto& it) { return it.at > at; });
    return *table.crashes.insert(next, server_crash{backend_id, at, now, {}, false, {}});
}

/// Returns when a request with these fingerprints may run as a trial of one of them.
steady_time trial_due(const quarantine_settings& settings, const quarantine_decision& decision,
                      const fingerprints& ids)
{
    const auto& rivals = decision.rivals;
    const bool has_all = !rivals.empty() && std::all_of(rivals.begin(), rivals.end(),
                                                        [&](auto id) { return contains(ids, id); });
    // A request with all rivals would not tell them apart.
    return has_all ? std::max(decision.next_trial, decision.decided_at + settings.first_trial_after)
                   : decision.next_trial;
}

/// A trial of fingerprints that are not rivals would not tell which of them is the cause.
bool is_one_trial(const quarantine_table& table, const fingerprints& found)
{
    const auto& first = table.decisions.at(found.front()).rivals;
    return std::all_of(found.begin() + 1, found.end(),
                       [&](auto id) { return contains(first, id); });
}

/// Returns whether an answer that this instance knows refutes another one's decision.
bool is_refuted(const quarantine_table& table, const quarantine_decision& decision)
{
    const auto answered = last_answer(table, decision.id);
    return decision.is_quarantined && answered &&
           *answered + table.settings.settle_time >= decision.decided_at;
}

void store_refutation(quarantine_table& table, quarantine_decision decision, steady_time now)
{
    decision.is_quarantined = false;
    decision.decided_at = std::max(now, decision.decided_at + milliseconds{1}); // it is newer
    decision.last_seen = now;
    decision.rivals.clear();
    set_decision(table, decision);
    ++table.own_changes;
}

} // namespace

void note_crash(quarantine_table& table, const crash_evidence& crash, steady_time now)
{
    auto& known = find_or_add_crash(table, crash.backend_id, now - crash.age, now);
    for (const auto id : crash.suspects) {
        const auto answered = last_answer(table, id);
        const bool is_sound_since = answered && *answered > known.at;
        if (!is_sound_since) {
            add_suspect(table, known, id);
        }
    }
    if (std::erase_if(table.trials, [&](const auto& it) { return it.ids == crash.suspects; }) > 0) {
        known.trial = crash.suspects;
    }
    table.is_judgement_due = table.is_judgement_due || known.is_settled;
    while (table.crashes.size() > 1 && suspect_count(table) > table.settings.max_suspects) {
        forget_oldest_crash(table);
    }
}

std::vector<conviction> judge(quarantine_table& table, steady_time now)
{
    std::vector<conviction> out;
    settle_crashes(table, now);
    if (!std::exchange(table.is_judgement_due, false)) {
        return out;
    }
    while (true) {
        const auto group = find_cause(table);
        if (group.empty()) {
            return out;
        }
        quarantine(table, group, now);
        out.insert(out.end(), group.begin(), group.end());
    }
}

fingerprints note_answer(quarantine_table& table, const fingerprints& ids, steady_time now)
{
    for (const auto id : ids) {
        auto& sound = is_whole_request(id) ? table.sound_requests : table.sound_parts;
        remember_answer(sound, table.settings, id, now);
        remove_suspect(table, id);
    }
    std::erase_if(table.trials, [&](const auto& it) { return it.ids == ids; });
    auto cleared = quarantined_of(table, ids);
    for (const auto id : cleared) {
        end_quarantine(table, id, now);
    }
    for (const auto id : cleared) {
        drop_rival(table, id, now);
    }
    if (!cleared.empty()) {
        end_explained_rivals(table, now);
    }
    return cleared;
}

std::optional<quarantine_hold> quarantine_wait(const quarantine_table& table,
                                               const fingerprints& ids, steady_time now)
{
    const auto found = quarantined_of(table, ids);
    if (found.empty()) {
        return std::nullopt;
    }
    quarantine_hold hold{milliseconds{0}, found.front()};
    auto latest = now;
    for (const auto id : found) {
        const auto due = trial_due(table.settings, table.decisions.at(id), ids);
        if (due > latest) {
            latest = due;
            hold.id = id;
        }
    }
    if (latest <= now && is_one_trial(table, found)) {
        return std::nullopt;
    }
    hold.wait = std::max(min_wait, std::chrono::ceil<milliseconds>(latest - now));
    return hold;
}

std::optional<quarantine_hold> admit(quarantine_table& table, const fingerprints& ids,
                                     steady_time now)
{
    const auto hold = quarantine_wait(table, ids, now);
    const auto found = quarantined_of(table, ids);
    for (const auto id : found) {
        auto& decision = table.decisions.at(id);
        decision.last_seen = now;
        if (!hold) {
            decision.next_trial = now + table.settings.trial_timeout;
            decision.is_trial_running = true;
        }
    }
    if (!hold && !found.empty()) {
        table.trials.push_back({ids, now});
        if (table.trials.size() > table.settings.max_running_trials) {
            table.trials.pop_front();
        }
        ++table.own_changes;
    }
    return hold;
}

bool is_suspected(const quarantine_table& table, const fingerprints& ids)
{
    return std::any_of(ids.begin(), ids.end(), [&](auto id) {
        return table.suspects.contains(id) || is_quarantined(table, id);
    });
}

bool is_trial(const quarantine_table& table, const fingerprints& ids)
{
    return std::any_of(table.trials.begin(), table.trials.end(),
                       [&](const auto& it) { return it.ids == ids; });
}

void cancel_trial(quarantine_table& table, const fingerprints& ids, steady_time now)
{
    if (std::erase_if(table.trials, [&](const auto& it) { return it.ids == ids; }) == 0) {
        return;
    }
    for (const auto id : quarantined_of(table, ids)) {
        auto& decision = table.decisions.at(id);
        if (std::exchange(decision.is_trial_running, false)) {
            decision.next_trial = now;
        }
    }
}

refusal make_refusal(const quarantine_hold& hold)
{
    if (is_whole_request(hold.id)) {
        return {verdict::not_run, std::string{code_request_quarantined},
                "the request crashed several backend servers", hold.wait};
    }
    return {verdict::not_run, std::string{code_quarantined},
            "a part of the prompt crashed several backend servers", hold.wait};
}

bool apply_decision(quarantine_table& table, const quarantine_decision& decision, steady_time now)
{
    const auto it = table.decisions.find(decision.id);
    if (is_refuted(table, decision) &&
        (it == table.decisions.end() || decision.decided_at > it->second.decided_at)) {
        const bool was_quarantined = is_quarantined(table, decision.id);
        store_refutation(table, decision, now);
        table.changes += was_quarantined ? 1 : 0;
        return was_quarantined;
    }
    if (it == table.decisions.end()) {
        if (!decision.is_quarantined || now - decision.last_seen > table.settings.forget_after) {
            return false;
        }
        set_decision(table, decision);
        end_explained_rivals(table, now);
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
        // What both instances suspect besides.
        std::erase_if(known.rivals, [&](auto id) { return !contains(decision.rivals, id); });
    }
    known.last_seen = last_seen;
    const bool is_changed = known.is_quarantined != was_quarantined;
    if (is_changed && was_quarantined) {
        remove_suspect(table, decision.id);
        drop_rival(table, decision.id, now);
        table.is_judgement_due = true;
    }
    end_explained_rivals(table, now);
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
    std::erase_if(table.trials,
                  [&](const auto& it) { return now - it.started > settings.crash_memory; });
    while (!table.crashes.empty() && now - table.crashes.front().at > settings.crash_memory) {
        forget_oldest_crash(table);
    }
}

std::size_t quarantined_count(const quarantine_table& table)
{
    return static_cast<std::size_t>(
        std::count_if(table.decisions.begin(), table.decisions.end(),
                      [](const auto& it) { return it.second.is_quarantined; }));
}

} // namespace almondline::granting
