#pragma once

#include "common/types/verdict.h"
#include "granting/types/quarantine_types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// Finds what crashes backend servers, a prompt part or a whole request, from the crashes and the
/// complete answers of the requests with the same fingerprints, and keeps further requests with it
/// away from the servers. The functions do no I/O: the time is passed in.
namespace almondline::granting {

/// A crash of a backend server and the fingerprints of the requests that ran on it. An answer
/// removes a fingerprint from all earlier crashes.
struct server_crash {
    std::string backend_id;
    steady_time at{};
    steady_time reported{}; ///< first report to this instance
    std::unordered_set<fingerprint> suspects;
    bool is_settled = false; ///< all requests are known, and the crash has been judged once
    fingerprints trial;      ///< of a request that ran on the server as a trial, if any
};

/// A request that runs to find out whether its quarantined fingerprints crash its server.
struct running_trial {
    fingerprints ids; ///< of the request
    steady_time started{};
};

/// Times of the last answers with fingerprints, in the current and the previous period.
struct sound_fingerprints {
    std::unordered_map<fingerprint, steady_time> current;
    std::unordered_map<fingerprint, steady_time> previous;
    steady_time since{}; ///< start of the current period
};

struct quarantine_table {
    quarantine_settings settings;
    std::map<fingerprint, quarantine_decision> decisions;
    std::deque<server_crash> crashes;              ///< oldest first
    std::unordered_map<fingerprint, int> suspects; ///< of all crashes, with their numbers
    std::deque<running_trial> trials;              ///< that this instance admitted, oldest first
    sound_fingerprints sound_parts;
    sound_fingerprints sound_requests; ///< apart, because each request has a fingerprint of its own
    bool is_judgement_due = false;     ///< crashes count that did not count before
    /// Number of times that a quarantine started or ended.
    std::uint64_t changes = 0;
    /// Number of changes that this instance made itself, and trials that it started. The other
    /// instances have to be told.
    std::uint64_t own_changes = 0;
};

/// Records what a request that ran on a crashed server has in common with others. The crash counts
/// when it has settled.
void note_crash(quarantine_table& table, const crash_evidence& crash, steady_time now);

/// Judges the crashes that have settled, and returns the fingerprints that are quarantined because
/// of them. What explains most of the crashes and had no answer goes first; a crash that a
/// quarantined fingerprint explains counts against no other, as long as the quarantine lasts.
/// Must be called every 50 to 100 ms.
std::vector<conviction> judge(quarantine_table& table, steady_time now);

/// Records that a request was answered, or that its response has begun without a crash, and returns
/// the fingerprints whose quarantine it ends.
fingerprints note_answer(quarantine_table& table, const fingerprints& ids, steady_time now);

/// Returns how long a request has to wait because of its quarantined fingerprints; nothing if it
/// may run.
std::optional<quarantine_hold> quarantine_wait(const quarantine_table& table,
                                               const fingerprints& ids, steady_time now);

/// The same for a request that is about to be granted. If it may run as a trial, the next trial is
/// put off.
std::optional<quarantine_hold> admit(quarantine_table& table, const fingerprints& ids,
                                     steady_time now);

/// Returns whether one of the fingerprints is quarantined or took part in a crash since its last
/// answer.
bool is_suspected(const quarantine_table& table, const fingerprints& ids);

/// Returns whether a request with these fingerprints runs, or waits, as a trial.
bool is_trial(const quarantine_table& table, const fingerprints& ids);

/// Must be called when a request that was admitted did not reach a server: if it was a trial,
/// another one may start at once.
void cancel_trial(quarantine_table& table, const fingerprints& ids, steady_time now);

/// Returns the refusal of a request that has to wait.
refusal make_refusal(const quarantine_hold& hold);

/// Applies the decision of another instance if it is newer and no answer known here refutes it.
/// Returns true if the fingerprint's quarantine starts or ends.
bool apply_decision(quarantine_table& table, const quarantine_decision& decision, steady_time now);

/// Removes what is too old to matter.
void prune(quarantine_table& table, steady_time now);

std::size_t quarantined_count(const quarantine_table& table);

} // namespace almondline::granting
