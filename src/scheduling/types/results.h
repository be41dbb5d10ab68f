#pragma once

#include "common/types/verdict.h"
#include "scheduling/types/credit_request.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace almondline::scheduling {

/// Codes of the refusals that the queue makes.
inline constexpr std::string_view code_shed = "shed"; ///< queue full, lowest tier first
inline constexpr std::string_view code_deadline = "deadline-unreachable"; ///< would start too late
inline constexpr std::string_view code_account_limit = "account-limit";   ///< too many in progress

/// Dispatch slots of the pool at this moment.
struct slot_view {
    int total = 0; ///< that usable replicas have, free or not
    int free = 0;
    /// Of the free ones, slots on replicas kept for accounts without a backlog.
    int free_headroom = 0;
};

/// An ask that was removed from the queue, with the answer for its caller.
struct shed_request {
    credit_request what;
    refusal why;
};

enum class enqueue_status {
    accepted,
    refused,         ///< see enqueue_result::why
    already_waiting, ///< a resent ask; its place is kept
    in_progress,     ///< a resent ask that pick() has already returned
};

struct enqueue_result {
    enqueue_status status = enqueue_status::accepted;
    refusal why;                    ///< if refused
    std::vector<shed_request> shed; ///< asks removed to make room
};

/// Work in progress that a holder reports to a new granter.
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
    int reserved_slots = 0; ///< by its floor at the last pick
};

/// Summary for operators and metrics.
struct queue_status {
    std::size_t waiting = 0;
    int in_progress = 0;
    double cost_per_second = 0; ///< learned capacity in token units, 0 if nothing finished yet
    std::vector<tier_status> tiers;
};

} // namespace almondline::scheduling
