#include "granting/quarantine.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::granting;
using namespace std::chrono_literals;

namespace {

constexpr fingerprint deadly = 7;
constexpr fingerprint before = 1;
constexpr fingerprint after = 9;

/// A table at a time that the test moves on. Each crash hits another server.
struct scenario {
    /// A server crashes, and all requests that ran on it are reported.
    void crash_at_once(const fingerprints& ids)
    {
        note_crash(table, {"b" + std::to_string(next++), ids}, now);
    }

    /// Returns the fingerprints that are quarantined when the crashes so far have settled.
    fingerprints settle()
    {
        now += table.settings.settle_time;
        fingerprints out;
        for (const auto& it : judge(table, now)) {
            out.push_back(it.id);
        }
        return out;
    }

    /// A server crashes so long after the last crash that this one has settled.
    fingerprints crash(const fingerprints& ids, std::chrono::milliseconds wait = 0ms)
    {
        now += std::max(wait, table.settings.settle_time) - table.settings.settle_time;
        crash_at_once(ids);
        return settle();
    }

    fingerprints answer(const fingerprints& ids) { return note_answer(table, ids, now); }

    bool is_refused(const fingerprints& ids) { return admit(table, ids, now).has_value(); }

    quarantine_table table;
    steady_time now{1h};
    int next = 0;
};

} // namespace

TEST_CASE("a part is quarantined after three crashes, its neighbours go on")
{
    scenario s;
    s.answer({before, after});
    CHECK(s.crash({before, deadly, after}).empty());
    CHECK(s.crash({before, deadly, 20}).empty());
    CHECK(!s.is_refused({deadly}));
    CHECK(s.crash({deadly, after}) == fingerprints{deadly});
    CHECK(s.is_refused({before, deadly, after}));
    CHECK(s.is_refused({30, deadly}));
    CHECK(!s.is_refused({before, after}));
    CHECK(!s.is_refused({20}));
}

TEST_CASE("a crash that several requests of one server report counts once")
{
    scenario s;
    for (int n = 0; n < 5; ++n) {
        note_crash(s.table, {"b1", {deadly}}, s.now + n * 10ms);
    }
    CHECK(s.settle().empty());
    CHECK(!s.is_refused({deadly}));
}

TEST_CASE("an answer between crashes shows that a part is not the cause")
{
    scenario s;
    s.crash({deadly});
    s.crash({deadly});
    s.answer({deadly});
    CHECK(s.crash({deadly}, 3s).empty());
    CHECK(!s.is_refused({deadly}));
}

TEST_CASE("servers that crash at once for another reason quarantine no part in use")
{
    scenario s;
    s.answer({before});
    for (int n = 0; n < 10; ++n) {
        s.crash_at_once({before});
    }
    CHECK(s.settle().empty());
    s.answer({before});
    CHECK(!s.is_refused({before}));
}

TEST_CASE("a part that was answered before is quarantined if only crashes follow")
{
    scenario s;
    s.answer({deadly});
    CHECK(s.crash({deadly}, 1s).empty());
    CHECK(s.crash({deadly}, 900ms).empty());
    CHECK(s.crash({deadly}, 900ms).empty());
    CHECK(s.crash({deadly}, 900ms) == fingerprints{deadly});
}

TEST_CASE("crashes that a quarantined part explains do not count against other parts")
{
    scenario s;
    s.crash({deadly, 31});
    s.crash({deadly});
    s.crash({deadly});
    CHECK(s.is_refused({deadly}));
    // Requests that ran on the same servers report later, and so do trials.
    note_crash(s.table, {"b1", {31}}, s.now);
    note_crash(s.table, {"b2", {31}}, s.now);
    CHECK(s.settle().empty());
    for (int n = 0; n < 5; ++n) {
        s.crash({deadly, 31}, 10s);
    }
    CHECK(!s.is_refused({31}));
}

TEST_CASE("parts that always came together are told apart by one request")
{
    scenario s;
    for (int n = 0; n < 3; ++n) {
        s.crash({deadly, after});
    }
    CHECK(s.is_refused({deadly, after}));
    CHECK(!s.is_refused({after}));
    CHECK(s.is_refused({after})); // a second trial does not start beside the first
    CHECK(s.answer({after}) == fingerprints{after});
    CHECK(!s.is_refused({after}));
    CHECK(s.is_refused({deadly, after}));
    CHECK(s.is_refused({deadly}));
}

TEST_CASE("one trial at a time, at intervals that grow with each crash")
{
    scenario s;
    for (int n = 0; n < 3; ++n) {
        s.crash({deadly});
    }
    int trials = 0;
    for (const auto end = s.now + 30min; s.now < end; s.now += 1s) {
        if (!s.is_refused({deadly})) {
            ++trials;
            s.crash({deadly});
        }
    }
    CHECK(trials == 2);
    CHECK(!s.is_refused({40}));
}

TEST_CASE("a trial that never reached a server is repeated soon")
{
    scenario s;
    for (int n = 0; n < 3; ++n) {
        s.crash({deadly});
    }
    s.now += s.table.settings.first_trial_after;
    CHECK(!s.is_refused({deadly}));
    s.now += s.table.settings.trial_timeout;
    CHECK(!s.is_refused({deadly}));
    s.crash({deadly});
    s.now += s.table.settings.trial_timeout;
    CHECK(s.is_refused({deadly}));
}

TEST_CASE("a trial that is answered ends the quarantine")
{
    scenario s;
    for (int n = 0; n < 3; ++n) {
        s.crash({deadly});
    }
    s.now += s.table.settings.first_trial_after;
    REQUIRE(!s.is_refused({deadly}));
    CHECK(s.answer({deadly}) == fingerprints{deadly});
    CHECK(!s.is_refused({deadly}));
}

TEST_CASE("a part is forgotten only when no request with it arrives any more")
{
    scenario s;
    for (int n = 0; n < 3; ++n) {
        s.crash({deadly});
    }
    s.table.settings.first_trial_after = 24h;
    s.table.decisions.at(deadly).next_trial = s.now + 24h;
    for (int n = 0; n < 300; ++n) {
        s.now += 1min;
        prune(s.table, s.now);
        REQUIRE(s.is_refused({deadly}));
    }
    s.now += s.table.settings.forget_after + 1s;
    prune(s.table, s.now);
    CHECK(!s.is_refused({deadly}));
}

TEST_CASE("the memory is bounded when each crash names new parts")
{
    scenario s;
    s.table.settings.max_crashes = 50;
    s.table.settings.max_suspects_per_crash = 3;
    s.table.settings.max_decisions = 10;
    s.table.settings.max_sound = 100;
    for (fingerprint n = 0; n < 3'000; ++n) {
        s.answer({1'000'000 + n, whole_request_bit | n});
        s.crash({n / 3, 5'000'000 + n, 6'000'000 + n, 7'000'000 + n});
    }
    CHECK(s.table.crashes.size() <= 50);
    CHECK(s.table.suspects.size() <= 150);
    CHECK(s.table.decisions.size() <= 10);
    for (const auto* it : {&s.table.sound_parts, &s.table.sound_requests}) {
        CHECK(it->current.size() + it->previous.size() <= 200);
    }
    CHECK(s.is_refused({999}));
}

// The reports of sound requests took up the memory, and the cause was never recorded.
TEST_CASE("the cause is found when the requests beside it have long lists of prompt parts")
{
    constexpr int parts_of_each = 250;
    constexpr int requests = 7;
    scenario s;
    fingerprint next_part = 1'000;
    for (int n = 0; n < 3; ++n) {
        s.now += 2'500ms;
        const auto backend = "b" + std::to_string(n);
        for (int k = 0; k < requests; ++k) {
            fingerprints sound{before};
            for (int it = 0; it < parts_of_each; ++it) {
                sound.push_back(next_part++);
            }
            note_crash(s.table, {backend, sound}, s.now);
        }
        note_crash(s.table, {backend, {before, deadly}}, s.now);
        s.answer({before});
    }
    CHECK(s.settle() == fingerprints{deadly});
    CHECK(!s.is_refused({before, next_part}));
}

TEST_CASE("a suspect of several crashes is kept when the memory of a crash is used up")
{
    scenario s;
    s.table.settings.max_suspects_per_crash = 4;
    s.crash({deadly, 20, 21, 22});
    for (int n = 1; n < 3; ++n) {
        const auto backend = "c" + std::to_string(n);
        const fingerprint own = 100 + 10 * static_cast<fingerprint>(n);
        note_crash(s.table, {backend, {own, own + 1, own + 2, own + 3}}, s.now);
        note_crash(s.table, {backend, {deadly}}, s.now);
        s.now += 1'500ms;
    }
    CHECK(s.settle() == fingerprints{deadly});
}

TEST_CASE("the oldest crash is forgotten when the memory of all crashes is used up")
{
    scenario s;
    s.table.settings.max_suspects = 6;
    for (fingerprint n = 0; n < 20; ++n) {
        s.crash({100 + 2 * n, 101 + 2 * n});
        CHECK(s.table.suspects.size() <= 6);
    }
    CHECK(s.table.crashes.size() == 3);
}

TEST_CASE("the newest decision of all instances holds")
{
    scenario one;
    scenario two;
    for (int n = 0; n < 3; ++n) {
        one.crash({deadly});
    }
    two.now = one.now;
    const auto known = one.table.decisions.at(deadly);
    CHECK(apply_decision(two.table, known, two.now));
    CHECK(two.is_refused({deadly}));
    CHECK(!apply_decision(two.table, known, two.now));
    two.now += 1s;
    two.answer({deadly});
    CHECK(!apply_decision(two.table, known, two.now));
    CHECK(!two.is_refused({deadly}));
    CHECK(apply_decision(one.table, two.table.decisions.at(deadly), two.now));
    CHECK(!one.is_refused({deadly}));
}

TEST_CASE("copies of a decision that arrive late do not outlast the end of the quarantine")
{
    constexpr auto delay = 100ms; // of a message; its times are relative to the arrival
    scenario one;
    scenario two;
    for (int n = 0; n < 3; ++n) {
        one.crash({deadly, after});
    }
    const auto deliver = [&](const auto& sent, scenario& to) {
        for (const auto& [part, it] : sent) {
            auto late = it;
            late.decided_at += delay;
            apply_decision(to.table, late, to.now);
        }
    };
    for (int n = 0; n < 20; ++n) {
        two.now = one.now + delay;
        deliver(one.table.decisions, two);
        one.now = two.now + delay;
        deliver(two.table.decisions, one);
    }
    const auto in_transit = one.table.decisions;
    REQUIRE(one.answer({after}) == fingerprints{after});
    two.now = one.now + delay;
    deliver(in_transit, two);
    one.now = two.now + delay;
    deliver(two.table.decisions, one);
    CHECK(!one.is_refused({after}));
    CHECK(one.is_refused({deadly}));
}

TEST_CASE("requests that were running when their part was quarantined do not delay the first trial")
{
    scenario s;
    for (int n = 0; n < 3; ++n) {
        s.crash({deadly});
    }
    for (int n = 0; n < 4; ++n) {
        s.crash({deadly}, 100ms);
    }
    CHECK(s.is_refused({deadly}));
    s.now += s.table.settings.first_trial_after;
    CHECK(!s.is_refused({deadly}));
}

// A lost message or a full queue would otherwise keep a sound part waiting for the trial's timeout.
TEST_CASE("a trial that was cancelled before it reached a server is followed by another at once")
{
    scenario s;
    for (int n = 0; n < 3; ++n) {
        s.crash({deadly});
    }
    s.now += s.table.settings.first_trial_after;
    REQUIRE(!s.is_refused({deadly, 40}));
    CHECK(is_trial(s.table, {deadly, 40}));
    cancel_trial(s.table, {deadly, 41}, s.now);
    CHECK(s.is_refused({deadly, 41}));
    cancel_trial(s.table, {deadly, 40}, s.now);
    CHECK(!s.is_refused({deadly, 41}));
}

// The report that arrived first decided: a sound part of a request that waited at the crashing
// server was quarantined in its place, and the cause went on.
TEST_CASE("what a sound request shares is not quarantined, whichever report of a crash comes first")
{
    for (const bool is_sound_first : {true, false}) {
        CAPTURE(is_sound_first);
        scenario s;
        s.answer({before, after});
        for (int n = 0; n < 3; ++n) {
            s.now += 2'500ms;
            const auto backend = "b" + std::to_string(n);
            const fingerprints sound{before, after};
            const fingerprints bad{before, deadly};
            note_crash(s.table, {backend, is_sound_first ? sound : bad}, s.now);
            s.now += 200ms;
            note_crash(s.table, {backend, is_sound_first ? bad : sound}, s.now);
        }
        CHECK(s.settle() == fingerprints{deadly});
        CHECK(!s.is_refused({before, after}));
        CHECK(s.is_refused({deadly}));
    }
}

// Each wrong quarantine cleared the cause, because its crashes were forgotten.
TEST_CASE("crashes count against the cause again when an answer refutes what explained them")
{
    scenario s;
    for (int n = 0; n < 3; ++n) {
        note_crash(s.table, {"b" + std::to_string(n), {before}}, s.now);
    }
    REQUIRE(s.settle() == fingerprints{before});
    for (int n = 0; n < 3; ++n) {
        note_crash(s.table, {"b" + std::to_string(n), {before, deadly}}, s.now);
    }
    CHECK(s.answer({before}) == fingerprints{before});
    CHECK(s.settle() == fingerprints{deadly});
    CHECK(!s.is_refused({before}));
}

TEST_CASE("a decision of another instance is refuted by an answer that it did not know")
{
    scenario one;
    scenario two;
    for (int n = 0; n < 3; ++n) {
        one.crash({before});
    }
    two.now = one.now;
    two.answer({before});
    CHECK(!apply_decision(two.table, one.table.decisions.at(before), two.now));
    CHECK(!two.is_refused({before}));
    CHECK(two.table.own_changes == 1);
    two.now += 50ms;
    CHECK(apply_decision(one.table, two.table.decisions.at(before), two.now));
    CHECK(!one.is_refused({before}));
    CHECK(one.settle().empty());
}
