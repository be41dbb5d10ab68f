#include "membership/internal/update_queue.h"

#include "common/hash.h"

#include <cmath>

namespace almondline::membership {

void push_update(update_queue& queue, const std::string& id, std::size_t members)
{
    const auto sends = static_cast<int>(3 * std::ceil(std::log2(static_cast<double>(members) + 1)));
    const auto [it, is_new] = queue.sends_left.try_emplace(id, sends);
    if (!is_new) {
        queue.entries.erase({it->second, stable_hash(id, queue.salt), id});
        it->second = sends;
    }
    queue.entries.insert({sends, stable_hash(id, queue.salt), id});
}

std::vector<std::string> take_updates(update_queue& queue, std::size_t limit)
{
    std::vector<std::tuple<int, std::uint64_t, std::string>> taken;
    while (taken.size() < limit && !queue.entries.empty()) {
        taken.push_back(*queue.entries.begin());
        queue.entries.erase(queue.entries.begin());
    }
    std::vector<std::string> ids;
    for (const auto& [sends, order, id] : taken) {
        if (sends > 1) {
            queue.entries.insert({sends - 1, order, id});
            queue.sends_left[id] = sends - 1;
        }
        else {
            queue.sends_left.erase(id);
        }
        ids.push_back(id);
    }
    return ids;
}

} // namespace almondline::membership
