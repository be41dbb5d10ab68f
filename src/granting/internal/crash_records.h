#pragma once

#include "granting/pool_owner.h"
#include "granting/types/quarantine_types.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

/// The crashes that a holder has reported, so that it can tell them to the next owner of the pool:
/// the former one may have ended with all that it knew.
namespace almondline::granting {

struct crash_record {
    std::string pool;
    std::string backend_id;
    fingerprints suspects; ///< without those that this holder got an answer with since
    steady_time at{};
    pool_owner_id told;
    int reports_left{0};
    steady_time next_report{};
};

struct crash_records {
    std::chrono::milliseconds memory = quarantine_settings{}.crash_memory;
    std::size_t max_records = quarantine_settings{}.max_crashes;
    std::deque<crash_record> all; ///< oldest first
};

/// Crashes to report to the new owner of a pool.
struct crash_batch {
    std::string pool;
    std::string owner_id;
    std::vector<crash_evidence> crashes;
};

/// Records a crash that was just reported to an owner.
void add_record(crash_records& records, crash_record record);

/// Records that a request was answered: what it contains did not cause the earlier crashes.
void remove_answered(crash_records& records, const fingerprints& ids);

/// Returns what has to be reported now. Each new owner gets a crash twice, a second apart, because
/// it may not know at first that it is the owner. Forgets old records.
std::vector<crash_batch>
due_reports(crash_records& records,
            const std::function<pool_owner_id(const std::string& pool)>& owner_of, steady_time now);

} // namespace almondline::granting
