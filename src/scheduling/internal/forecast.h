#pragma once

#include "scheduling/types/queue_state.h"

/// Reserved slots, learned capacity and expected waits.
namespace almondline::scheduling {

/// Adds an amount to a rate that forgets with a time constant of 20 s.
void add_to_rate(decaying_rate& rate, double amount, steady_time now);
double rate_at(const decaying_rate& rate, steady_time now);

/// Sets the reserved slots of each floor and returns how many reserved slots are not filled.
int reserve_slots(queue_state& queue, int total_slots, steady_time now);

/// Reserved slots that the floor's own work has not filled.
int unfilled(const floor_state& floor);

/// True if an ask of this flow would get a free slot at once. Uses the last reserve_slots().
bool can_start_now(const queue_state& queue, const flow& of, const slot_view& slots,
                   int unfilled_slots);

/// Learns capacity from a finished ask.
void update_capacity_estimate(queue_state& queue, account_state& account, double cost, double held);

/// Token units per second that all slots together serve, 0 if unknown.
double capacity(const queue_state& queue);

/// Expected wait in s of an ask with this much cost of its own account ahead of it in its tier.
double expected_wait(const queue_state& queue, const tier_queue& tier, const account_state& account,
                     double own_ahead, steady_time now);

/// Expected wait in s of the next ask of an account that is at its limit.
double expected_limit_wait(const account_state& account);

/// Time until the work of this and the more urgent tiers has drained.
std::chrono::milliseconds retry_after_drain(const queue_state& queue, int rank);

std::chrono::milliseconds clamp_retry(const queue_config& config, double seconds);

} // namespace almondline::scheduling
