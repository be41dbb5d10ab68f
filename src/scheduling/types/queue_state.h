#pragma once

#include "scheduling/types/credit_request.h"
#include "scheduling/types/queue_config.h"
#include "scheduling/types/results.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace almondline::scheduling {

struct flow;
struct kind_queue;
struct tier_queue;
struct tier_account;

/// Ordered by the first value; the number makes equal values distinct and the order repeatable.
template <class T>
using ordered_index = std::set<std::tuple<double, std::uint64_t, T*>>;

/// Sum of an amount per second that forgets exponentially.
struct decaying_rate {
    double per_second = 0;
    steady_time updated{};
};

/// A waiting ask. Owned by queue_state::waiting.
struct waiting_request {
    credit_request what;
    std::uint64_t sequence = 0;
    flow* in = nullptr;
    steady_time latest_start{}; ///< dispatched later, it would miss its deadline
    double queued_before = 0;   ///< tier_account::cost_entered at its arrival
};

/// Dispatch slots that a tier or kind keeps.
struct floor_state {
    double share = 0; ///< of all slots, 0 to 1
    int in_progress = 0;
    int reserved = 0;      ///< slots at the last computation
    std::size_t ready = 0; ///< waiting asks whose account is under its limit
    steady_time last_arrival{};
};

struct account_state {
    std::string name;
    double weight = 1;
    int max_in_progress = 0; ///< 0: no limit
    int in_progress = 0;
    std::size_t waiting = 0;
    bool is_blocked = false; ///< at its limit; its flows are left out of the order
    double mean_held = 0;    ///< s between pick and finish
    std::vector<flow*> flows;
};

/// Waiting asks of one account in one tier and kind, with its start-time fair queueing tags.
struct flow {
    kind_queue* parent = nullptr;
    account_state* account = nullptr;
    tier_account* account_in_tier = nullptr;
    std::uint64_t number = 0;
    std::map<std::uint64_t, waiting_request*> credit_requests; ///< by sequence
    double start = 0;
    double finish = 0;
    bool is_active = false;
    steady_time waiting_since{}; ///< its asks wait without a break
};

/// Flows of one kind in one tier.
struct kind_queue {
    tier_queue* parent = nullptr;
    floor_state* floor = nullptr;
    std::string name;
    std::uint64_t number = 0;
    double weight = 1;
    double virtual_time = 0; ///< among its flows
    double start = 0;
    double finish = 0;
    bool is_active = false;
    std::map<std::string, flow, std::less<>> flows; ///< by account
    ordered_index<flow> order;                      ///< active flows by start tag
    ordered_index<flow> prompt; ///< of these, flows that may still have no backlog
};

/// What one account has in one tier, over all kinds. Decides who is shed.
struct tier_account {
    account_state* account = nullptr;
    std::uint64_t number = 0;
    double waiting_cost = 0;
    double running_cost = 0;
    double cost_entered = 0;                                   ///< of all asks that ever entered
    double cost_left = 0;                                      ///< of all asks that left
    double indexed_load = 0;                                   ///< its value in tier_queue::by_load
    std::map<std::uint64_t, waiting_request*> credit_requests; ///< by sequence
};

/// Latest arrivals of accounts without a backlog: of one account, and of all others.
struct backlog_free_demand {
    steady_time last{};
    const account_state* account = nullptr; ///< of the last one; for comparison only
    steady_time last_of_others{};
};

struct tier_queue {
    int rank = 0;
    int group = 0;
    std::string name;
    floor_state floor;
    double virtual_time = 0; ///< among its kinds
    std::map<std::string, kind_queue, std::less<>> kinds;
    ordered_index<kind_queue> order; ///< active kinds by start tag
    std::map<std::string, tier_account, std::less<>> accounts;
    ordered_index<tier_account> by_load; ///< accounts with waiting asks, by cost over weight
    std::set<std::tuple<steady_time, std::uint64_t, waiting_request*>> by_latest_start;
    std::size_t waiting = 0;
    double waiting_cost = 0;
    backlog_free_demand prompt;
    double active_weight = 0; ///< sum over accounts with waiting asks
    decaying_rate arrivals{}; ///< cost per second, refused asks excluded
};

/// An ask between pick() and finish().
struct running_record {
    flow* in = nullptr;
    double cost = 0;
    steady_time picked{};
    bool is_restored = false; ///< reported by its holder; its start is unknown
};

/// One queue. Holds pointers into itself: it can be moved but not copied.
struct queue_state {
    queue_state() = default;
    queue_state(queue_state&&) = default;
    queue_state& operator=(queue_state&&) = default;
    queue_state(const queue_state&) = delete;
    queue_state& operator=(const queue_state&) = delete;
    ~queue_state() = default;

    queue_config config;
    std::vector<tier_queue> tiers; ///< never resized after make_queue()
    std::map<std::string, floor_state, std::less<>> kind_floors;
    std::unordered_map<std::string, account_state> accounts;
    std::unordered_map<std::string, waiting_request> waiting; ///< by request id
    std::unordered_map<std::string, running_record> running;  ///< by request id
    std::uint64_t next_sequence = 1ULL << 32U;
    std::uint64_t front_sequence = 1ULL << 32U; ///< counts down, for asks put back
    std::uint64_t next_number = 1;
    double yield_credit = 0; ///< picks that the next group has earned
    int last_total_slots = 0;
    double mean_cost = 0;       ///< of finished asks
    double mean_held = 0;       ///< s between pick and finish of finished asks
    std::uint64_t finished = 0; ///< asks that the two means were learned from
};

} // namespace almondline::scheduling
