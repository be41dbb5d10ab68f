#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace almondline::membership {

/// Ids of the members whose latest update waits to be piggybacked, those sent least often first.
struct update_queue {
    std::set<std::tuple<int, std::uint64_t, std::string>, std::greater<>> entries; ///< sends left
    /// Gives each member an order of its own among equals, so that a message seldom repeats what
    /// another just said when many members change at once.
    std::uint64_t salt = 0;
    std::unordered_map<std::string, int> sends_left;
};

/// Queues an update of a member, in place of an older one, to be sent 3 * log2(members) times.
void push_update(update_queue& queue, const std::string& id, std::size_t members);

/// Takes the ids of up to limit updates for one message and counts them as sent.
std::vector<std::string> take_updates(update_queue& queue, std::size_t limit);

} // namespace almondline::membership
