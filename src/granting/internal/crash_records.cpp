#include "granting/internal/crash_records.h"

#include <algorithm>
#include <utility>

namespace almondline::granting {

using std::chrono::milliseconds;

namespace {

constexpr int reports_to_each_owner = 2;
constexpr milliseconds report_interval{1'000};

crash_batch& batch_of(std::vector<crash_batch>& batches, const crash_record& record)
{
    const auto it = std::find_if(batches.begin(), batches.end(),
                                 [&](const auto& batch) { return batch.pool == record.pool; });
    if (it != batches.end()) {
        return *it;
    }
    return batches.emplace_back(crash_batch{record.pool, record.told.instance_id, {}});
}

} // namespace

void add_record(crash_records& records, crash_record record)
{
    records.all.push_back(std::move(record));
    if (records.all.size() > records.max_records) {
        records.all.pop_front();
    }
}

void remove_answered(crash_records& records, const fingerprints& ids)
{
    for (auto& record : records.all) {
        std::erase_if(record.suspects,
                      [&](auto id) { return std::find(ids.begin(), ids.end(), id) != ids.end(); });
    }
    std::erase_if(records.all, [](const auto& it) { return it.suspects.empty(); });
}

std::vector<crash_batch>
due_reports(crash_records& records,
            const std::function<pool_owner_id(const std::string& pool)>& owner_of, steady_time now)
{
    std::erase_if(records.all, [&](const auto& it) { return now - it.at > records.memory; });
    std::vector<crash_batch> out;
    for (auto& it : records.all) {
        const auto owner = owner_of(it.pool);
        if (!owner.instance_id.empty() && owner != it.told) {
            it.told = owner;
            it.reports_left = reports_to_each_owner;
            it.next_report = now;
        }
        if (it.reports_left == 0 || now < it.next_report) {
            continue;
        }
        it.reports_left -= 1;
        it.next_report = now + report_interval;
        const auto age = std::chrono::duration_cast<milliseconds>(now - it.at);
        batch_of(out, it).crashes.push_back({it.backend_id, it.suspects, age});
    }
    return out;
}

} // namespace almondline::granting
