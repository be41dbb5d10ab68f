#include "standins/internal/journal.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace almondline::standins {

namespace json = boost::json;

journal_entry& entry_of(journal& log, const std::string& request_id)
{
    const auto it = log.entries.find(request_id);
    if (it != log.entries.end()) {
        return it->second;
    }
    if (log.entries.size() < max_journal_entries) {
        return log.entries[request_id];
    }
    ++log.dropped;
    static thread_local journal_entry overflow;
    overflow = {};
    return overflow;
}

void note_dispatch(journal& log, const std::string& request_id, std::string digest, system_time now)
{
    auto& it = entry_of(log, request_id);
    ++it.dispatched;
    it.digest = std::move(digest);
    const auto since =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    it.arrived_ms.push_back(since.count());
    if (log.file.is_open()) {
        log.file << "dispatch " << request_id << ' ' << it.digest << ' ' << since.count()
                 << std::endl;
    }
}

void note_order(journal& log, journal_order order, system_time now)
{
    order.at_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    if (log.file.is_open()) {
        log.file << "order " << order.kind << ' ' << order.target << ' ' << order.fencing << ' '
                 << (order.is_taken ? "taken" : "refused") << ' ' << order.interrupted << ' '
                 << order.at_ms << std::endl;
    }
    if (log.orders.size() < max_journal_entries) {
        log.orders.push_back(std::move(order));
    }
}

void note_run(journal& log, const std::string& request_id)
{
    ++entry_of(log, request_id).ran;
    if (log.file.is_open()) {
        log.file << "run " << request_id << std::endl;
    }
}

std::string to_json(const journal& log)
{
    json::array requests;
    for (const auto& [id, it] : log.entries) {
        json::object line;
        line["id"] = id;
        line["dispatched"] = it.dispatched;
        line["ran"] = it.ran;
        line["completed"] = it.completed;
        line["refused"] = it.refused;
        line["resumed"] = it.resumed;
        line["cancelled"] = it.cancelled;
        line["digest"] = it.digest;
        line["arrived_ms"] = json::array(it.arrived_ms.begin(), it.arrived_ms.end());
        requests.emplace_back(std::move(line));
    }
    json::array orders;
    for (const auto& it : log.orders) {
        orders.push_back(json::object{{"kind", it.kind},
                                      {"target", it.target},
                                      {"fencing", it.fencing},
                                      {"taken", it.is_taken},
                                      {"interrupted", it.interrupted},
                                      {"at_ms", it.at_ms}});
    }
    json::object out;
    out["requests"] = std::move(requests);
    out["orders"] = std::move(orders);
    out["dropped"] = log.dropped;
    return json::serialize(out);
}

} // namespace almondline::standins
