#pragma once

#include "granting/types/quarantine_types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// Finds prompt parts that crash the backend servers of a service, from the crashes and the
/// complete answers of the requests that contain them, and keeps further requests with these parts
/// away from the servers. The functions do no I/O: the time is passed in.
namespace almondline::granting {

struct server_crash {
    std::string backend_id;
    steady_time at{};
};

struct quarantine_table {
    quarantine_settings settings;
    std::map<prompt_part, quarantine_decision> decisions;
    /// Crashes of each part that is not quarantined, oldest first.
    std::unordered_map<prompt_part, std::vector<server_crash>> suspects;
    std::deque<server_crash> explained; ///< crashes by quarantined parts
    /// Parts with a complete answer, in the current and the previous period.
    std::unordered_set<prompt_part> sound;
    std::unordered_set<prompt_part> sound_before;
    steady_time sound_since{}; ///< start of the current period
    /// Number of times that a quarantine started or ended.
    std::uint64_t changes = 0;
};

/// Records a crash, and returns the parts that are quarantined because of it. A part is quarantined
/// once several servers have crashed on it and no request with it was answered in between. Crashes
/// that a quarantined part explains do not count against other parts.
std::vector<prompt_part> note_crash(quarantine_table& table, const crash_evidence& crash,
                                    steady_time now);

/// Records that a request was answered completely, and returns the parts whose quarantine it ends.
std::vector<prompt_part> note_answer(quarantine_table& table, const prompt_parts& parts,
                                     steady_time now);

/// Returns how long a request has to wait because of its quarantined parts; nothing if it may run.
std::optional<std::chrono::milliseconds>
quarantine_wait(const quarantine_table& table, const prompt_parts& parts, steady_time now);

/// The same for a request that is about to be granted. If it may run as the trial of a quarantined
/// part, the next trial of the part is put off.
std::optional<std::chrono::milliseconds> admit(quarantine_table& table, const prompt_parts& parts,
                                               steady_time now);

/// Applies the decision of another instance if it is newer. Returns true if the part's quarantine
/// starts or ends.
bool apply_decision(quarantine_table& table, const quarantine_decision& decision, steady_time now);

/// Removes what is too old to matter.
void prune(quarantine_table& table, steady_time now);

std::size_t quarantined_count(const quarantine_table& table);

} // namespace almondline::granting
