#pragma once

#include "fleet/background_worker.h"
#include "fleet/manifest_follower.h"
#include "granting/credit_client.h"
#include "granting/decision_log.h"
#include "granting/message_router.h"
#include "granting/pools.h"
#include "membership/member_table.h"
#include "peer/peer_transport.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// An instance as a member of the fleet: the member table, the manifest in force, the pools that
/// it owns and the credits that it requests.
namespace almondline::fleet {

struct node_settings {
    membership::member self;
    membership::membership_config membership;
    peer::peer_settings peer;
    granting::credit_client_settings credit_client;
    granting::pools_settings pools;
    manifest_source manifest;
    std::size_t max_decision_lines = 10'000; ///< decision records kept in memory for operators
    /// Suspects keep their pools until they are declared dead. If false, a dead granter is replaced
    /// sooner, but the pools of a slow instance move back and forth.
    bool suspects_keep_pools = true;
    /// Time after the start during which a process that has no other members in its list owns no
    /// pools, so that processes that start together don't each own all of them.
    std::chrono::milliseconds solo_ownership_delay{0};
    /// The same for a process that knows fewer than half of the listed members to be alive.
    std::chrono::milliseconds minority_ownership_delay{0};
};

struct node_callbacks {
    std::function<void()> on_manifest; ///< a different manifest is in force
    std::function<void()> on_members;  ///< members were added, removed or changed their status
    /// Receives messages other than probes and manifest messages before they go to the pools and
    /// the credit client. Returns true if it handled the message.
    std::function<bool(const std::string& from, const wire::envelope& message)> on_message;
};

/// Runs on the control thread.
class node {
public:
    /// Binds the peer address immediately. Throws boost::system::system_error if it can't be bound.
    /// All references must outlive the node.
    node(boost::asio::io_context& io, const clock_source& clock, key_value_store& store,
         const node_settings& settings, node_callbacks callbacks);

    /// Runs the periodic work of all parts. Must be called every 50 ms.
    void tick(steady_time now);
    /// Applies membership changes immediately instead of at the next tick.
    void check_members();
    /// Announces that this instance accepts no new requests, and gives up its pools.
    void start_drain();
    /// Merges the platform's list of instances into the members and the pools.
    void apply_list(const std::vector<listed_instance>& instances);
    /// Applies the platform's list of backend servers to the pools.
    void apply_servers(const std::vector<listed_instance>& servers);

    /// Returns an empty string if the id is unknown.
    std::string failure_domain_of(const std::string& id) const;
    /// Returns true if at least one other member is known to be alive.
    bool has_live_peer() const;
    bool is_draining() const { return is_draining_; }
    std::size_t member_count() const { return member_count_; }
    /// Returns the number of members that may hold credits: all that have been heard from and are
    /// not dead, including this instance.
    std::size_t possible_member_count() const;

private:
    void send_all(const std::vector<membership::outgoing_message>& messages);
    void receive(const std::string& from, const wire::envelope& message);
    void on_manifest();
    void refuse_removed_pools();
    std::vector<membership::member> granter_candidates() const;
    std::string peer_address_of(const std::string& id) const;
    double allowance_share() const;
    bool may_own() const;

    const clock_source& clock_;
    bool suspects_keep_pools_;
    steady_time solo_ownership_from_;
    steady_time minority_ownership_from_;
    bool may_own_ = false; ///< result of may_own() at the last check of the members
    node_callbacks callbacks_;
    std::uint64_t applied_changes_ = 0; ///< members.changes() at the last check
    std::size_t member_count_ = 0;      ///< including this instance
    bool is_draining_ = false;

public:
    membership::member_table members;
    peer::peer_transport transport;
    granting::message_router router;
    granting::decision_log decisions;
    granting::pools owned_pools;
    granting::credit_client credit_client;

private:
    background_worker worker_;

public:
    manifest_follower manifests;
};

} // namespace almondline::fleet
