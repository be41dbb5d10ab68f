#pragma once

#include "common/types/verdict.h"
#include "scheduling/types/credit_request.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace almondline::scheduling {

/// Codes of the queue's refusals.
inline constexpr std::string_view code_shed = "shed"; ///< queue full, lowest tier first
inline constexpr std::string_view code_deadline = "deadline-unreachable"; ///< would start too late
inline constexpr std::string_view code_account_limit = "account-limit";   ///< too many in progress

/// Current dispatch slots of the pool slice.
struct slot_view {
    int total = 0; ///< free and occupied slots of all usable replicas
    int free = 0;
    /// Free slots on the replicas that are kept for accounts without a backlog. Included in free.
    int free_headroom = 0;
    // Of the replicas that accept a limited number of requests per second:
    int rate_limited_total = 0; ///< their part of total: what they run and what they may start now
    int rate_limited_slots = 0; ///< their slots, whatever their rates
    double rate_limit = 0;      ///< requests per second that they accept
};

/// A request that was removed from the queue, and the refusal to send to its caller.
struct shed_request {
    credit_request request;
    refusal reason;
};

enum class enqueue_status {
    accepted,
    refused,         ///< see enqueue_result::reason
    already_waiting, ///< resent request; it keeps its position
    in_progress,     ///< resent request that pick() has already returned
};

struct enqueue_result {
    enqueue_status status = enqueue_status::accepted;
    refusal reason;                 ///< if refused
    std::vector<shed_request> shed; ///< requests removed to make room
};

/// A request in progress that its holder reports to a new granter.
struct running_request {
    std::string request_id;
    std::string account;
    std::string kind;
    int tier = 0;
    double cost = 1.0; ///< estimated, in token units
};

struct tier_status {
    std::string name;
    std::size_t waiting = 0;
    double waiting_cost = 0; ///< token units
    int in_progress = 0;
    int reserved_slots = 0; ///< by its floor, as of the last enqueue() or pick()
};

/// Summary of a queue for operators and metrics.
struct queue_status {
    std::size_t waiting = 0;
    int in_progress = 0;
    double cost_per_second = 0; ///< estimated capacity in token units, 0 if nothing finished yet
    std::vector<tier_status> tiers;
};

} // namespace almondline::scheduling
