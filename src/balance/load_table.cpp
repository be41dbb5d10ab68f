#include "balance/load_table.h"

#include <algorithm>
#include <utility>

namespace almondline::balance {

void note_load(load_table& table, const std::string& pool, slice_load load, steady_time now)
{
    const auto [it, is_new] = table.records.try_emplace(pool);
    auto& record = it->second;
    if (is_new) {
        record.interval = table.settings.first_interval;
    }
    else {
        // A longer gap says nothing about the interval: the slice was not asked meanwhile.
        const std::chrono::duration<double> gap =
            std::min<steady_time::duration>(now - record.received, table.settings.max_age);
        record.interval += table.settings.interval_weight * (gap - record.interval);
    }
    record.load = std::move(load);
    record.received = now;
    record.sent = 0;
}

void note_sent(load_table& table, const std::string& pool)
{
    const auto it = table.records.find(pool);
    if (it != table.records.end()) {
        ++it->second.sent;
    }
}

void forget_load(load_table& table, const std::string& pool)
{
    table.records.erase(pool);
}

const load_record* find_load(const load_table& table, std::string_view pool, steady_time now)
{
    const auto it = table.records.find(pool);
    const bool is_fresh =
        it != table.records.end() && now - it->second.received < table.settings.max_age;
    return is_fresh ? &it->second : nullptr;
}

} // namespace almondline::balance
