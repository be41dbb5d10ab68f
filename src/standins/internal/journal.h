#pragma once

#include "common/clock.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondline::standins {

/// What a backend server did for one request id.
struct journal_entry {
    int dispatched = 0; ///< requests received with this id, without resumes
    int ran = 0;        ///< how often processing started
    int completed = 0;
    int refused = 0; ///< answered before processing
    int resumed = 0;
    int cancelled = 0;
    std::string digest;                   ///< identifies the content of the last request
    std::vector<std::int64_t> arrived_ms; ///< wall-clock times of the dispatches, Unix epoch
};

/// Order that an engine received.
struct journal_order {
    std::string kind;
    std::string target;
    std::int64_t fencing = 0;
    bool is_taken = false;
    int interrupted = 0;    ///< requests of the target model in the engine when it was unloaded
    std::int64_t at_ms = 0; ///< wall-clock time, Unix epoch
};

/// Requests by id, and orders. Holds at most max_journal_entries of each; further request ids are
/// counted as dropped.
struct journal {
    std::unordered_map<std::string, journal_entry> entries;
    std::vector<journal_order> orders; ///< in order of arrival
    std::uint64_t dropped = 0;
    /// If open, gets a line for each dispatch, run and order, which outlives a killed process.
    std::ofstream file;
};

constexpr std::size_t max_journal_entries = 200'000;

/// Returns the entry of a request id, new if needed. Beyond the limit, the id counts as dropped and
/// the returned entry isn't part of the journal.
journal_entry& entry_of(journal& log, const std::string& request_id);
void note_dispatch(journal& log, const std::string& request_id, std::string digest,
                   system_time now);
void note_order(journal& log, journal_order order, system_time now);
/// Records that processing started.
void note_run(journal& log, const std::string& request_id);
std::string to_json(const journal& log);

} // namespace almondline::standins
