#pragma once

#include "balance/types/slice_load.h"
#include "common/clock.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

/// What an instance knows about the load of a service's slices, and the choice of the slice that is
/// asked for a request's credit. Pure: the time and the randomness are passed in.
namespace almondline::balance {

struct balance_settings {
    /// An older figure tells nothing: the slice counts as average.
    std::chrono::milliseconds max_age{2'000};
    /// Slices compared in one choice.
    std::size_t candidates = 4;
    /// Time in which a difference of the load is to be evened out, in multiples of the time between
    /// two figures of a slice. Shorter times make all instances overshoot together, because each
    /// sees the effect of the others only in the next figure.
    double correction_intervals = 0.4;
    /// Lower limit of the interval in that rule. Covers a round trip between failure domains.
    std::chrono::milliseconds min_interval{50};
    /// Interval that is assumed until two figures of a slice have arrived.
    std::chrono::milliseconds first_interval{500};
    /// Weight of the latest interval in the average.
    double interval_weight = 0.25;
    /// Requests per slot and second of a busy slice. Converts a difference of the load into a share
    /// of the requests.
    double requests_per_slot = 1.5;
    /// Lowest weight of a slice in a choice, relative to one of average load. Keeps figures
    /// arriving from slices that are full.
    double min_weight = 0.05;
};

/// Newest figure of a slice.
struct load_record {
    slice_load load;
    steady_time received{}; ///< on this instance's clock
    int sent = 0;           ///< requests that this instance sent to the slice since then
    std::chrono::duration<double> interval{0}; ///< average time between two figures
};

struct load_table {
    balance_settings settings;
    std::map<std::string, load_record, std::less<>> records; ///< by pool name
};

/// Replaces the figure of a slice.
void note_load(load_table& table, const std::string& pool, slice_load load, steady_time now);

/// Counts a request that this instance sends to a slice.
void note_sent(load_table& table, const std::string& pool);

/// Removes the figure of a slice. Must be called when its granter changes.
void forget_load(load_table& table, const std::string& pool);

/// Returns null if the slice has no figure, or an old one.
const load_record* find_load(const load_table& table, std::string_view pool, steady_time now);

} // namespace almondline::balance
