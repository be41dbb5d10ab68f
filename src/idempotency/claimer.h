#pragma once

#include "idempotency/range_owner.h"

#include <chrono>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondline::idempotency {

struct claimer_config {
    std::string instance_id;
    std::int64_t incarnation = 0;
    std::chrono::milliseconds resend_interval{300};
    std::chrono::milliseconds timeout{2000}; ///< of one claim
    /// Lifetime of cached range owners. The rendezvous order of thousands of members takes about a
    /// millisecond to compute. Shorter than resend_interval, so that a claim is resent to the
    /// current owner.
    std::chrono::milliseconds owner_cache_lifetime{200};
};

struct peer_callbacks {
    /// Sends a message, best effort.
    std::function<void(const std::string& to, const message&)> send;
    /// Returns the ids of the live members including this instance, like
    /// member_table::live_members.
    std::function<std::vector<std::string>()> live_members;
};

/// Claims caller-chosen keys for requests that this instance holds. Each claim is sent to the owner
/// of the key range: the first of the live members in the rendezvous order of the range.
class claimer {
public:
    using handler = std::function<void(const claim_answer&)>;

    /// local records the claims of ranges that this instance owns; it must outlive the claimer.
    claimer(claimer_config config, peer_callbacks callbacks, range_owner& local);

    /// Claims a key. The handler runs once; status unknown can also mean that no owner answered in
    /// time.
    void claim(const std::string& claim_id, const std::string& account, const std::string& key_hash,
               const std::string& request_id, handler done, steady_time now);
    void on_answer(const claim_answer& answer);
    /// Resends unanswered claims, to the new owner if the range's owner has changed.
    void tick(steady_time now);
    std::size_t pending() const { return pending_.size(); }

private:
    struct pending_claim {
        claim_request request;
        handler done;
        steady_time next_send;
        steady_time deadline;
    };

    void send(const claim_request& request, steady_time now);
    const std::string& find_owner(int range, steady_time now);

    claimer_config config_;
    peer_callbacks callbacks_;
    range_owner& local_;
    std::unordered_map<std::string, pending_claim> pending_; ///< by claim id
    std::unordered_map<int, std::string> owners_;
    steady_time owners_expire_;
};

/// Returns the owner of a key range among the live members, or an empty string if there are none.
std::string owner_of(int range, std::vector<std::string> live_members);

} // namespace almondline::idempotency
