#include "scheduling/internal/forecast.h"

#include <algorithm>
#include <cmath>

namespace almondline::scheduling {

namespace {

// Long enough that a burst of one second does not look like an overload to the lower tiers.
constexpr double rate_decay_seconds = 20;
// A tier below busy ones is expected to get at least this share of the capacity. Otherwise an
// urgent burst would make the expected wait of every lower tier endless.
constexpr double min_capacity_share = 0.05;
constexpr double min_observation_weight = 0.02;

double seconds_between(steady_time from, steady_time to)
{
    return std::chrono::duration<double>(to - from).count();
}

bool has_demand(const floor_state& floor, std::chrono::milliseconds window, steady_time now)
{
    if (floor.ready > 0) {
        return true;
    }
    return floor.last_arrival != steady_time{} && now - floor.last_arrival <= window;
}

} // namespace

void add_to_rate(decaying_rate& rate, double amount, steady_time now)
{
    rate.per_second = rate_at(rate, now) + amount / rate_decay_seconds;
    rate.updated = now;
}

double rate_at(const decaying_rate& rate, steady_time now)
{
    const double elapsed = std::max(0.0, seconds_between(rate.updated, now));
    return rate.per_second * std::exp(-elapsed / rate_decay_seconds);
}

int unfilled(const floor_state& floor)
{
    return std::max(0, floor.reserved - floor.in_progress);
}

int reserve_slots(queue_state& queue, int total_slots, steady_time now)
{
    // One slot stays for work without a floor: rounding up would reserve all slots of a small pool.
    int left = std::max(0, total_slots - 1);
    int unfilled_slots = 0;
    const auto reserve = [&](floor_state& floor) {
        floor.reserved = 0;
        if (floor.share > 0 && has_demand(floor, queue.config.demand_window, now)) {
            const int wanted = static_cast<int>(std::ceil(floor.share * total_slots - 1e-9));
            floor.reserved = std::min(left, wanted);
            left -= floor.reserved;
        }
        unfilled_slots += unfilled(floor);
    };
    for (tier_queue& tier : queue.tiers) {
        reserve(tier.floor);
    }
    for (auto& [name, floor] : queue.kind_floors) {
        reserve(floor);
    }
    return unfilled_slots;
}

bool can_start_now(const queue_state& queue, const account_flow& flow, const slot_view& slots,
                   int unfilled_slots)
{
    if (slots.free <= 0 || flow.account->is_blocked) {
        return false;
    }
    const tier_queue& tier = *flow.parent->parent;
    if (unfilled(tier.floor) > 0 || unfilled(*flow.parent->floor) > 0) {
        return true;
    }
    if (slots.free <= unfilled_slots) {
        return false;
    }
    return std::all_of(queue.tiers.begin(), queue.tiers.begin() + tier.rank + 1,
                       [](const tier_queue& each) { return each.floor.ready == 0; });
}

void update_capacity_estimate(queue_state& queue, account_state& account, double cost,
                              double hold_time)
{
    queue.finished += 1;
    const double weight =
        std::max(min_observation_weight, 1.0 / static_cast<double>(queue.finished));
    queue.mean_cost += weight * (cost - queue.mean_cost);
    queue.mean_hold_time += weight * (hold_time - queue.mean_hold_time);
    account.mean_hold_time +=
        (account.mean_hold_time == 0 ? 1.0 : 0.1) * (hold_time - account.mean_hold_time);
}

double capacity(const queue_state& queue)
{
    if (queue.mean_hold_time <= 0) {
        return 0;
    }
    // Little's law: each slot serves one request per mean hold time.
    const auto& slots = queue.last_slots;
    const double unlimited = (slots.total - slots.rate_limited_total) / queue.mean_hold_time;
    const double limited =
        std::min(slots.rate_limited_slots / queue.mean_hold_time, slots.rate_limit);
    return (unlimited + limited) * queue.mean_cost;
}

double expected_wait(const queue_state& queue, const tier_queue& tier, const account_state& account,
                     double own_ahead, steady_time now)
{
    const double all = capacity(queue);
    if (all <= 0) {
        return 0;
    }
    double higher_waiting = 0;
    double higher_arrivals = 0;
    for (int rank = 0; rank < tier.rank; ++rank) {
        const tier_queue& higher = queue.tiers[static_cast<std::size_t>(rank)];
        higher_waiting += higher.waiting_cost;
        higher_arrivals += rate_at(higher.arrivals, now);
    }
    const double weights = std::max(tier.active_weight, account.weight);
    const double own = std::min(tier.waiting_cost, own_ahead * weights / account.weight);
    const double left = std::max(all - higher_arrivals, min_capacity_share * all);
    const double wait = (higher_waiting + own) / left;
    if (tier.floor.share > 0) {
        return std::min(wait, own / (tier.floor.share * all));
    }
    return wait;
}

double expected_limit_wait(const account_state& account)
{
    if (!account.is_blocked) {
        return 0;
    }
    const double rounds =
        static_cast<double>(account.waiting + 1) / static_cast<double>(account.max_in_progress);
    return rounds * account.mean_hold_time;
}

std::chrono::milliseconds retry_after_drain(const queue_state& queue, int rank)
{
    const double all = capacity(queue);
    if (all <= 0) {
        return std::max(queue.config.min_retry_after, std::chrono::milliseconds{1000});
    }
    double ahead = 0;
    for (int i = 0; i <= rank; ++i) {
        ahead += queue.tiers[static_cast<std::size_t>(i)].waiting_cost;
    }
    return clamp_retry(queue.config, ahead / all);
}

std::chrono::milliseconds clamp_retry(const queue_config& config, double seconds)
{
    const auto highest = static_cast<double>(config.max_retry_after.count());
    const auto wanted = std::chrono::milliseconds{
        static_cast<std::int64_t>(std::clamp(seconds * 1000, 0.0, highest))};
    return std::clamp(wanted, config.min_retry_after, config.max_retry_after);
}

} // namespace almondline::scheduling
