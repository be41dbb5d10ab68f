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
    std::chrono::milliseconds give_up_after{2000};
    /// The order of thousands of members takes about a millisecond to find. Shorter than
    /// resend_interval, so that a claim is sent again to the owner of that time.
    std::chrono::milliseconds owner_cache{200};
};

struct peer_callbacks {
    /// Best effort.
    std::function<void(const std::string& to, const message&)> send;
    /// Ids of the live members with this instance, as in member_table::live_members.
    std::function<std::vector<std::string>()> live_members;
};

/// Claims caller-chosen keys for requests that this instance holds, through the owners of the key
/// ranges: the first of the live members in the rendezvous order of the range.
class claimer {
public:
    using handler = std::function<void(const claim_answer&)>;

    /// The owner must outlive it.
    claimer(claimer_config config, peer_callbacks callbacks, range_owner& local);

    /// The handler runs once. Status unknown also means that no owner answered in time.
    void claim(const std::string& claim_id, const std::string& account, const std::string& key_hash,
               const std::string& request_id, handler done, steady_time now);
    void on_answer(const claim_answer& answer);
    /// Sends unanswered claims again, to a new owner if there is one.
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

/// Owner of a key range among the live members, or an empty text without members.
std::string owner_of(int range, std::vector<std::string> live_members);

} // namespace almondline::idempotency
