#pragma once

#include "common/clock.h"
#include "membership/internal/update_queue.h"
#include "membership/types/messages.h"
#include "store/instance_list.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace almondline::membership {

/// Intervals and limits of probing. The defaults exclude a dead instance within 3 s: up to 0.5 s
/// until the next probe, 1.2 s until suspicion, the rest for spreading the suspicion.
struct membership_config {
    std::chrono::milliseconds probe_interval{500};
    std::chrono::milliseconds retry_interval{250}; ///< while a member does not answer
    std::chrono::milliseconds suspect_after{1200}; ///< silence after the first unanswered probe
    std::chrono::milliseconds dead_after{1000};    ///< time to refute a suspicion
    std::chrono::milliseconds gossip_interval{200};
    std::chrono::milliseconds verify_interval{200}; ///< probes of members not heard of yet
    /// A new member learns the others from the list, by probing and from samples of its peers'
    /// tables. Gossip about a member that it meets would repeat known facts, unless that one
    /// started this much later than itself.
    std::chrono::milliseconds new_member_period{10'000};
    std::chrono::milliseconds forget_after{60'000}; ///< silent and not in the list
    /// A longer gap between ticks means that this process was paused: silence proves nothing then.
    std::chrono::milliseconds pause_limit{2000};
    /// In a larger fleet the probe interval grows in proportion to the number of members, up to
    /// max_interval_factor: each member is still probed by its predecessors at different times.
    std::size_t full_rate_members = 400;
    double max_interval_factor = 4;
    int successors = 3;
    int indirect_probes = 3;
    int gossip_fanout = 3;
    int verify_probes = 4;       ///< per verify_interval
    std::size_t max_updates = 8; ///< per message, with the sender's own record
    /// Piggybacked updates per second. With records of about 80 bytes they stay below 5 KB/s on
    /// average however many members change.
    int update_rate = 60;
    int update_burst = 600; ///< saved up while quiet, for the loss of a whole failure domain
};

/// What this instance can say about one incarnation of another.
enum class incarnation_state {
    current, ///< alive or leaving, or this instance itself
    silent,  ///< suspect: it may be alive behind a broken network
    gone,    ///< dead, or replaced by a later incarnation
    unknown
};

/// Members of one fleet as this instance sees them. Runs on the control thread and does no I/O: the
/// caller sends the returned messages and passes in the received ones.
class member_table {
public:
    member_table(member self, const membership_config& config, std::uint64_t seed, steady_time now);

    /// Does what is due. To be called every 50 ms or more often.
    std::vector<outgoing_message> tick(steady_time now);
    /// Handles a probe or an ack from a peer and returns the answers.
    std::vector<outgoing_message> receive(const std::string& from, const probe_message& message,
                                          steady_time now);
    /// Merges a fetched list of instances. Not to be called for a failed fetch.
    void apply_list(const std::vector<listed_instance>& instances, steady_time now);
    /// Announces that this instance takes no new work. Final for this incarnation.
    void set_leaving(steady_time now);
    void set_manifest_version(std::int64_t version) { self_.manifest_version = version; }

    const member& self() const { return self_; }
    /// nullptr if the id is unknown. A listed member not heard of yet has incarnation 0.
    const member* find(const std::string& id) const;
    incarnation_state state_of(const std::string& id, std::int64_t incarnation) const;
    /// Members that are alive and not leaving, with this instance, ordered by id. For rendezvous
    /// hashing.
    std::vector<member> live_members() const;
    /// Every known member but this instance, for status reports.
    std::vector<member> all_members() const;
    /// Raised when a member comes, goes, restarts or changes its status.
    std::uint64_t changes() const { return changes_; }
    /// Addresses for callers: members that are alive and not leaving, with this instance.
    std::vector<member> callers_addresses() const;
    /// Other members in the last list, processes that were replaced left out.
    std::size_t listed_count() const;
    /// Of these, the ones that are known to be alive.
    std::size_t listed_alive_count() const;
    /// Failure domains of two or more members that are all silent. Nothing of them may be taken
    /// over: the members may be alive behind a broken network.
    std::vector<std::string> unreachable_domains() const;
    /// Changes to suspect and to dead in this table so far, for metrics.
    std::uint64_t suspicions() const { return suspicions_; }
    std::uint64_t deaths() const { return deaths_; }

private:
    struct record {
        member info;
        bool is_listed = false;
        bool is_leaving = false;           ///< said by the member itself
        std::int64_t leaving_in_list = -1; ///< incarnation that the list calls leaving, or -1
        steady_time since;                 ///< of the status
        steady_time last_listed;           ///< last list with this member, or its first sight
        steady_time next_probe;
        std::optional<steady_time> unanswered_since;
        int probes_sent = 0;      ///< since unanswered_since
        bool is_held = false;     ///< suspect for longer than dead_after, as its domain may be lost
        bool is_sampled = false;  ///< got samples of this table with the ack to its first probe
        bool is_replaced = false; ///< a later process has its address: it is gone for good
    };
    struct domain_state {
        int members = 0; ///< heard of and not dead
        int suspects = 0;
        steady_time last_heard;
    };
    struct relay {
        std::string requester;
        std::string target;
        std::int64_t nonce = 0;
        steady_time expires;
    };
    struct pending_probe {
        std::string target;
        steady_time expires;
    };

    void handle_pause(steady_time now);
    void probe_targets(steady_time now, std::vector<outgoing_message>& out);
    void probe_target(record& target, steady_time now, std::vector<outgoing_message>& out);
    void probe_random(steady_time now, std::vector<outgoing_message>& out);
    void probe_unverified(steady_time now, std::vector<outgoing_message>& out);
    void request_probes(const record& target, steady_time now, std::vector<outgoing_message>& out);
    void gossip(steady_time now, std::vector<outgoing_message>& out);
    void refill_credit(steady_time now);
    void expire_suspicions(steady_time now);
    void expire_requests(steady_time now);
    void on_heard(const std::string& id, steady_time now);
    void answer(const std::string& from, const probe_message& message, steady_time now,
                std::vector<outgoing_message>& out);
    void handle_ack(const std::string& from, const probe_message& message, steady_time now,
                    std::vector<outgoing_message>& out);
    probe_message make_message(const std::string& to, bool is_ack, std::int64_t nonce);
    const record* random_peer(const std::string& except);
    std::vector<std::string> find_successors() const;
    const std::vector<std::string>& successors();
    std::chrono::milliseconds probe_interval() const;

    record& add_record(const std::string& id, steady_time now);
    void apply_update(const member& update, steady_time now);
    void apply_self_update(const member& update);
    void adopt(record& known, const member& update, steady_time now);
    void set_status(record& target, member_status status, steady_time now);
    void retire_predecessors(record& added, steady_time now);
    void retire(record& of, steady_time now);
    std::unordered_map<std::string, std::int64_t>
    latest_by_address(const std::vector<listed_instance>& instances) const;
    void count_in_domain(const record& counted, int step);
    void list_member(const listed_instance& it, bool is_replaced, steady_time now);
    void forget_members(steady_time now);
    bool may_declare_dead(const record& suspect, steady_time now) const;
    void reprobe(const record& suspect, steady_time now);
    bool is_unreachable(const std::string& domain) const;
    bool is_isolated(steady_time now) const;
    static bool is_usable(const record& candidate);

    member self_;
    membership_config config_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, record> records_;
    std::map<std::uint64_t, std::string> ring_; ///< members heard of and not dead, by hash
    std::vector<std::string> ids_;              ///< every known id, for random choice
    std::unordered_set<std::string> suspects_;
    std::unordered_set<std::string> unverified_; ///< listed, not heard of yet
    std::unordered_set<std::string> watched_;    ///< probed at random, no answer yet
    std::unordered_map<std::string, domain_state> domains_;
    std::unordered_map<std::int64_t, relay> relays_;          ///< by the nonce sent to the target
    std::unordered_map<std::int64_t, pending_probe> pending_; ///< indirect probes requested
    std::vector<std::string> verify_round_;                   ///< unverified ids left in this round
    std::vector<std::string> round_; ///< ids left in this round of random probes
    std::size_t extra_probes_ = 0;   ///< random probes to be made at a higher rate
    update_queue updates_;
    double update_credit_ = 0; ///< updates that may be sent now
    std::int64_t last_nonce_ = 0;
    std::vector<std::string> successors_; ///< at successors_of_
    std::uint64_t successors_of_ = 0;     ///< value of changes_
    std::uint64_t changes_ = 1;
    std::uint64_t suspicions_ = 0;
    std::uint64_t deaths_ = 0;
    steady_time started_;
    steady_time last_tick_;
    steady_time last_heard_;
    steady_time next_random_;
    steady_time next_gossip_;
    steady_time next_verify_;
    steady_time next_forget_;
};

} // namespace almondline::membership
