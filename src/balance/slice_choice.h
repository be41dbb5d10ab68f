#pragma once

#include "balance/load_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondline::balance {

/// A request for which a slice is chosen.
struct slice_request {
    int tier = 0;             ///< 0 is the most urgent
    std::uint64_t random = 0; ///< random bits, or a hash of the request's id and the attempt
};

/// A slice that was compared with others, for the log.
struct compared_slice {
    std::string pool;
    std::optional<double> load; ///< load_ahead(); empty if nothing is known
};

struct slice_choice {
    std::string pool; ///< empty: none
    std::vector<compared_slice> compared;
};

/// Returns the requests that a request of this tier finds at a slice, waiting ahead of it or in
/// progress, per slot of the slice. Includes what this instance has sent there since the figure
/// arrived.
double load_ahead(const load_record& record, int tier);

/// Returns true if a slice has free slots, or serves or queues requests of less urgent tiers.
bool may_take(const load_record& record, int tier);

/// Chooses the slice of a new request. A few random slices are compared: the less loaded one is,
/// the more likely it is chosen. The differences count less the older the figures are. Slices
/// without a figure, or with an old one, count as the average of those compared. Chooses none if
/// there are no slices.
slice_choice choose_slice(const load_table& table, const std::vector<std::string>& pools,
                          const slice_request& request, steady_time now);

/// Chooses another slice for a request that was refused for lack of room, among those that have not
/// refused it: the one with the least load ahead of it of those that may take it, else a random one
/// without a figure. Chooses none if each slice is known not to take it.
slice_choice choose_overflow(const load_table& table, const std::vector<std::string>& pools,
                             const slice_request& request, steady_time now);

} // namespace almondline::balance
