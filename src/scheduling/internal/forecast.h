#pragma once

#include "scheduling/types/queue_state.h"

/// Reserved slots, estimated capacity and expected waits.
namespace almondline::scheduling {

/// Adds an amount to a rate that decays with a time constant of 20 s.
void add_to_rate(decaying_rate& rate, double amount, steady_time now);
double rate_at(const decaying_rate& rate, steady_time now);

/// Sets the reserved slots of each floor and returns how many of them are unfilled in total.
int reserve_slots(queue_state& queue, int total_slots, steady_time now);

/// Returns the number of reserved slots that the floor's own requests do not occupy.
int unfilled(const floor_state& floor);

/// Returns true if a request of this flow would get a free slot at once. Uses the result of the
/// last reserve_slots().
bool can_start_now(const queue_state& queue, const account_flow& flow, const slot_view& slots,
                   int unfilled_slots);

/// Updates the capacity estimate with a finished request. hold_time is in seconds.
void update_capacity_estimate(queue_state& queue, account_state& account, double cost,
                              double hold_time);

/// Returns the token units per second that all slots together serve, 0 if unknown.
double capacity(const queue_state& queue);

/// Returns the expected wait in seconds of a request in this tier. own_ahead is the cost of the
/// requests of its own account that are ahead of it in the tier.
double expected_wait(const queue_state& queue, const tier_queue& tier, const account_state& account,
                     double own_ahead, steady_time now);

/// Returns the expected wait in seconds of the next request of an account that is at its limit.
double expected_limit_wait(const account_state& account);

/// Returns a retry-after: the time until the waiting requests of this and the more urgent tiers are
/// served, within the configured bounds.
std::chrono::milliseconds retry_after_drain(const queue_state& queue, int rank);

/// Returns a retry-after within the configured bounds.
std::chrono::milliseconds clamp_retry(const queue_config& config, double seconds);

} // namespace almondline::scheduling
