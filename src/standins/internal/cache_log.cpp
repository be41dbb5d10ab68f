#include "standins/internal/cache_log.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace almondline::standins {

void append_changes(cache_log& log, const std::vector<cache_change>& changes, steady_time now)
{
    for (const auto& it : changes) {
        if (log.gap_every > 0 && log.next_seq % log.gap_every == 0) {
            log.events.clear();
        }
        log.events.push_back({log.next_seq, it, now + log.lag});
        ++log.next_seq;
        if (log.events.size() > log.max_events) {
            log.events.pop_front();
        }
    }
}

std::string events_json(const cache_log& log, std::uint64_t after, steady_time now)
{
    boost::json::array events;
    const std::uint64_t oldest = log.events.empty() ? log.next_seq : log.events.front().seq;
    const std::uint64_t first = std::max(oldest, std::min(after + 1, log.next_seq));
    std::uint64_t next = first;
    for (const auto& it : log.events) {
        if (it.seq < first) {
            continue;
        }
        if (it.visible_from > now) {
            break;
        }
        boost::json::object line;
        line["seq"] = it.seq;
        line["kind"] = it.change.is_stored ? "stored" : "evicted";
        line["block"] = block_text(it.change.block);
        events.emplace_back(std::move(line));
        next = it.seq + 1;
    }
    boost::json::object body;
    body["first_seq"] = first;
    body["next_seq"] = next;
    body["events"] = std::move(events);
    return boost::json::serialize(body);
}

} // namespace almondline::standins
