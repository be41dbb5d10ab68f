#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace almondline::membership {

/// Ids of the members whose latest update waits to be piggybacked, those sent least often first.
struct update_queue {
    std::set<std::pair<int, std::string>, std::greater<>> entries; ///< sends left, id
    std::unordered_map<std::string, int> sends_left;
};

/// Queues an update of a member, in place of an older one, to be sent 3 * log2(members) times.
void push_update(update_queue& queue, const std::string& id, std::size_t members);

/// Takes the ids of up to limit updates for one message and counts them as sent.
std::vector<std::string> take_updates(update_queue& queue, std::size_t limit);

} // namespace almondline::membership
