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

struct account_flow;
struct kind_queue;
struct tier_queue;
struct tier_account;

/// Pointers ordered by a value, and by a tie breaker that makes the order of equal values
/// deterministic.
template <class T>
using ordered_index = std::set<std::tuple<double, std::uint64_t, T*>>;

/// Amount per second, averaged with exponentially decaying weights.
struct decaying_rate {
    double per_second = 0;
    steady_time updated{};
};

/// A request that waits for a credit. Owned by queue_state::waiting.
struct waiting_request {
    credit_request request;
    std::uint64_t sequence = 0;
    account_flow* flow = nullptr;
    steady_time latest_start{};   ///< last time to dispatch it and still meet its deadline
    double cost_added_before = 0; ///< tier_account::cost_added when it arrived
};

/// Share of the dispatch slots that is reserved for a tier or kind.
struct floor_state {
    double share = 0; ///< of all slots, 0 to 1
    int in_progress = 0;
    int reserved = 0;      ///< slots, as of the last reserve_slots()
    std::size_t ready = 0; ///< waiting requests whose account is below its limit
    steady_time last_arrival{};
};

struct account_state {
    std::string name;
    double weight = 1;
    int max_in_progress = 0; ///< 0: no limit
    int in_progress = 0;
    std::size_t waiting = 0;
    bool is_blocked = false;   ///< at its limit; its flows are inactive
    double mean_hold_time = 0; ///< s between pick() and finish()
    std::vector<account_flow*> flows;
};

/// Waiting requests of one account in one tier and kind, with the tags of start-time fair queueing.
struct account_flow {
    kind_queue* parent = nullptr;
    account_state* account = nullptr;
    tier_account* account_in_tier = nullptr;
    std::uint64_t tie_breaker = 0;
    std::map<std::uint64_t, waiting_request*> waiting_requests; ///< by sequence
    double start = 0;
    double finish = 0;
    bool is_active = false;
    steady_time non_empty_since{}; ///< it has not been empty since then
};

/// Flows of one kind in one tier.
struct kind_queue {
    tier_queue* parent = nullptr;
    floor_state* floor = nullptr;
    std::string name;
    std::uint64_t tie_breaker = 0;
    double weight = 1;
    double virtual_time = 0; ///< among its flows
    double start = 0;
    double finish = 0;
    bool is_active = false;
    std::map<std::string, account_flow, std::less<>> flows; ///< by account
    ordered_index<account_flow> by_start;                   ///< active flows by start tag
    /// Active flows that had no backlog when last checked, by start tag.
    ordered_index<account_flow> without_backlog;
};

/// Requests of one account in one tier, over all kinds. Determines whose requests are shed.
struct tier_account {
    account_state* account = nullptr;
    std::uint64_t tie_breaker = 0;
    double waiting_cost = 0;
    double running_cost = 0;
    double cost_added = 0;   ///< of all requests that were ever inserted
    double cost_removed = 0; ///< of all requests that were ever removed
    double indexed_load = 0; ///< its value in tier_queue::by_load
    std::map<std::uint64_t, waiting_request*> waiting_requests; ///< by sequence
};

/// Latest arrivals in flows without a backlog: of the account that arrived last, and of all others.
struct backlog_free_demand {
    steady_time last{};
    const account_state* account = nullptr; ///< latest to arrive; only compared, never accessed
    steady_time last_of_others{};
};

struct tier_queue {
    int rank = 0;
    int group = 0;
    std::string name;
    floor_state floor;
    double virtual_time = 0; ///< among its kinds
    std::map<std::string, kind_queue, std::less<>> kinds;
    ordered_index<kind_queue> by_start; ///< active kinds by start tag
    std::map<std::string, tier_account, std::less<>> accounts;
    ordered_index<tier_account> by_load; ///< accounts with waiting requests, by cost over weight
    std::set<std::tuple<steady_time, std::uint64_t, waiting_request*>> by_latest_start;
    std::size_t waiting = 0;
    double waiting_cost = 0;
    backlog_free_demand demand_without_backlog;
    double active_weight = 0; ///< sum over the accounts with waiting requests
    decaying_rate arrivals{}; ///< cost per second, without refused requests
};

/// A request between pick() and finish().
struct running_record {
    account_flow* flow = nullptr;
    double cost = 0;
    steady_time picked{};
    bool is_restored = false; ///< reported by its holder; its start time is unknown
};

/// State of one queue. Contains pointers into itself, so it can be moved but not copied.
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
    std::uint64_t front_sequence = 1ULL << 32U; ///< counts down, for requests that are put back
    std::uint64_t next_tie_breaker = 1;
    double yield_balance = 0;   ///< picks that the next group of tiers has accrued
    slot_view last_slots;       ///< at the last enqueue() or pick()
    double mean_cost = 0;       ///< of finished requests
    double mean_hold_time = 0;  ///< s between pick() and finish() of finished requests
    std::uint64_t finished = 0; ///< number of requests that the two means are based on
};

} // namespace almondline::scheduling
