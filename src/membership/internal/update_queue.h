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

/// Ids of the members whose latest update waits to be piggybacked on a message, least often sent
/// first.
struct update_queue {
    /// Remaining sends, hash of the id and the salt, id.
    std::set<std::tuple<int, std::uint64_t, std::string>, std::greater<>> entries;
    /// Different for each member, so that members order updates with equal counts differently and
    /// seldom send the same ones at the same time when many members change at once.
    std::uint64_t salt = 0;
    std::unordered_map<std::string, int> sends_left;
};

/// Queues the update of a member to be sent 3 * ceil(log2(members + 1)) times. Replaces an earlier
/// update of the same member.
void push_update(update_queue& queue, const std::string& id, std::size_t members);

/// Returns the ids of up to limit updates for one message and counts them as sent.
std::vector<std::string> take_updates(update_queue& queue, std::size_t limit);

} // namespace almondline::membership
