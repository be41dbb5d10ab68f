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

/// Intervals and limits of probing and gossip. The defaults exclude a dead instance within 3 s: up
/// to 0.5 s until the next probe, 1.2 s until it is suspected, and the rest to spread the
/// suspicion.
struct membership_config {
    std::chrono::milliseconds probe_interval{500};
    std::chrono::milliseconds retry_interval{250}; ///< while a member does not answer
    std::chrono::milliseconds suspect_after{1200}; ///< since the first unanswered probe
    std::chrono::milliseconds dead_after{1000};    ///< time to refute a suspicion
    std::chrono::milliseconds gossip_interval{200};
    /// Between two batches of probes of listed members whose incarnation is not known yet.
    std::chrono::milliseconds verify_interval{200};
    /// A new member discovers the others from the list, by probing and from samples of its peers'
    /// tables. Gossip about a member that it discovers would repeat known facts, unless that member
    /// started this much later than itself.
    std::chrono::milliseconds new_member_period{10'000};
    /// After this time a member that is unresponsive and not in the list is removed.
    std::chrono::milliseconds remove_after{60'000};
    /// A longer gap between ticks means that this process was paused. Missing answers during the
    /// pause say nothing about the other members.
    std::chrono::milliseconds pause_limit{2000};
    /// In a larger fleet the probe interval grows in proportion to the number of members, at most
    /// by max_interval_factor. Each member is still probed by its predecessors at different times.
    std::size_t full_rate_members = 400;
    double max_interval_factor = 4;
    int successors = 3;
    int indirect_probes = 3;
    int gossip_fanout = 3;
    int verify_probes = 4;       ///< per verify_interval
    std::size_t max_updates = 8; ///< per message, including the sender's own record
    /// Piggybacked updates per second. With records of about 80 bytes their traffic stays below
    /// 5 KB/s on average however many members change.
    int update_rate = 60;
    int update_burst = 600; ///< unused updates that accumulate for the loss of a failure domain
};

/// State of one incarnation of another instance, as far as this instance knows.
enum class incarnation_state {
    current, ///< alive or leaving, or this instance itself
    silent,  ///< suspect; it may be alive but unreachable
    gone,    ///< dead, or replaced by a later incarnation
    unknown
};

/// The members of the fleet as this instance sees them. Runs on the control thread and does no I/O:
/// the caller sends the returned messages and passes in the received ones.
class member_table {
public:
    member_table(member self, const membership_config& config, std::uint64_t seed, steady_time now);

    /// Returns the probes and gossip that are due, and expires suspicions. Must be called at least
    /// every 50 ms.
    std::vector<outgoing_message> tick(steady_time now);
    /// Handles a probe or an ack from a peer and returns the messages to send in response.
    std::vector<outgoing_message> receive(const std::string& from, const probe_message& message,
                                          steady_time now);
    /// Merges the platform's list of instances. Must not be called after a failed fetch.
    void apply_list(const std::vector<listed_instance>& instances, steady_time now);
    /// Announces that this instance accepts no new requests. Can't be undone for this incarnation.
    void set_leaving(steady_time now);
    void set_manifest_version(std::int64_t version) { self_.manifest_version = version; }

    const member& self() const { return self_; }
    /// Returns nullptr if the id is unknown. A listed member that nothing was received from or
    /// about has incarnation 0.
    const member* find(const std::string& id) const;
    incarnation_state state_of(const std::string& id, std::int64_t incarnation) const;
    /// Returns the members that are alive and not leaving, including this instance, ordered by id,
    /// for rendezvous hashing.
    std::vector<member> live_members() const;
    /// Returns all known members except this instance, ordered by id.
    std::vector<member> all_members() const;
    /// Returns a number that grows when a member is added, removed, restarts or changes its status.
    std::uint64_t changes() const { return changes_; }
    /// Returns the live members, including this instance, that have an address for callers.
    std::vector<member> advertised_members() const;
    /// Returns the number of other members in the last list, without replaced processes.
    std::size_t listed_count() const;
    /// Returns how many of the members counted by listed_count() are known to be alive.
    std::size_t listed_alive_count() const;
    /// Returns the failure domains with at least two members in which all members are suspects.
    /// Nothing that they own may be taken over: they may be alive but unreachable.
    std::vector<std::string> unreachable_domains() const;
    /// Number of times that a member became suspect in this table, for metrics.
    std::uint64_t suspicions() const { return suspicions_; }
    /// Number of times that a member became dead in this table, for metrics.
    std::uint64_t deaths() const { return deaths_; }

private:
    struct record {
        member info;
        bool is_listed = false;
        bool is_leaving = false; ///< announced by the member itself
        /// Incarnation that is leaving according to the list, or -1.
        std::int64_t listed_leaving_incarnation = -1;
        steady_time status_since; ///< last status change
        steady_time last_listed;  ///< last list with this member, or when it was added
        steady_time next_probe;
        std::optional<steady_time> unanswered_since;
        int probes_sent = 0;            ///< since unanswered_since
        bool is_death_deferred = false; ///< dead only after new probes stay unanswered
        bool was_sent_sample = false;   ///< of this table, with the ack to its first probe
        bool is_replaced = false;       ///< a later process has its address, so it has ended
    };
    struct domain_state {
        int members = 0; ///< with a known incarnation and not dead
        int suspects = 0;
        steady_time last_received;
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
    void request_indirect_probes(const record& target, steady_time now,
                                 std::vector<outgoing_message>& out);
    void gossip(steady_time now, std::vector<outgoing_message>& out);
    void refill_update_budget(steady_time now);
    void expire_suspicions(steady_time now);
    void expire_indirect_probes(steady_time now);
    void note_received_from(const std::string& id, steady_time now);
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
    void apply_newer_update(record& known, const member& update, steady_time now);
    void set_status(record& target, member_status status, steady_time now);
    void mark_predecessors_replaced(record& added, steady_time now);
    void mark_replaced(record& replaced, steady_time now);
    std::unordered_map<std::string, std::int64_t>
    latest_by_address(const std::vector<listed_instance>& instances) const;
    void update_domain_counts(const record& counted, int step);
    void apply_listed_member(const listed_instance& entry, bool is_replaced, steady_time now);
    void purge_members(steady_time now);
    bool may_declare_dead(const record& suspect, steady_time now) const;
    void reprobe(const record& suspect, steady_time now);
    bool is_unreachable(const std::string& domain) const;
    bool is_isolated(steady_time now) const;
    static bool is_usable(const record& candidate);

    member self_;
    membership_config config_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, record> records_;
    /// Members that are not dead and whose incarnation is known, by hash.
    std::map<std::uint64_t, std::string> ring_;
    std::vector<std::string> ids_; ///< all known ids, for random choice
    std::unordered_set<std::string> suspects_;
    std::unordered_set<std::string> unverified_; ///< listed, incarnation not known yet
    /// Members probed besides the successors that have not answered yet.
    std::unordered_set<std::string> extra_targets_;
    std::unordered_map<std::string, domain_state> domains_;
    std::unordered_map<std::int64_t, relay> relays_; ///< by the nonce sent to the target
    std::unordered_map<std::int64_t, pending_probe> pending_indirect_probes_; ///< by nonce
    std::vector<std::string> verify_round_;       ///< unverified ids left in this round
    std::vector<std::string> random_probe_round_; ///< ids left in this round of random probes
    std::size_t extra_probes_ = 0; ///< number of random probes left to send at a higher rate
    update_queue updates_;
    double update_budget_ = 0; ///< updates that may be sent now
    std::int64_t last_nonce_ = 0;
    std::vector<std::string> successors_; ///< computed when changes_ was successors_version_
    std::uint64_t successors_version_ = 0;
    std::uint64_t changes_ = 1;
    std::uint64_t suspicions_ = 0;
    std::uint64_t deaths_ = 0;
    steady_time started_;
    steady_time last_tick_;
    steady_time last_received_;
    steady_time next_random_;
    steady_time next_gossip_;
    steady_time next_verify_;
    steady_time next_purge_;
};

} // namespace almondline::membership
