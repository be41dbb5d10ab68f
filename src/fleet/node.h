#pragma once

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

/// An entry instance as one of a fleet: its members, the manifest in force, the pools that it owns
/// and the credits that it asks for.
namespace almondline::fleet {

struct node_settings {
    membership::member self;
    membership::membership_config membership;
    peer::peer_settings peer;
    granting::credit_client_settings credit_client;
    granting::pools_settings pools;
    manifest_source manifest;
    std::size_t max_decision_lines = 10'000; ///< kept in memory for operators
    /// Suspects keep their pools until they are declared dead. Off, pools move back and forth with
    /// a slow instance, but a dead granter is replaced sooner.
    bool suspects_keep_pools = true;
    /// A process that knows no other member owns no pool until this long after its start, so that
    /// processes that start together do not each own all of them.
    std::chrono::milliseconds solo_ownership_delay{0};
    /// The same for a process that knows less than half of the members in the list.
    std::chrono::milliseconds minority_ownership_delay{0};
};

struct node_callbacks {
    std::function<void()> on_manifest; ///< another manifest is in force
    std::function<void()> on_members;  ///< members came, went or changed their state
    /// Takes messages that are not of members, manifests or credits. Returns false for others.
    std::function<bool(const std::string& from, const wire::envelope& message)> on_message;
};

/// Runs on the control thread.
class node {
public:
    /// Binds the peer address at once. Throws boost::system::system_error if it can't be bound. All
    /// references must outlive it.
    node(boost::asio::io_context& io, const clock_source& clock, key_value_store& store,
         const node_settings& settings, node_callbacks callbacks);

    /// To be called every 50 ms.
    void tick(steady_time now);
    /// Looks for changes of the members at once.
    void check_members();
    /// Announces that this instance takes no new requests. It gives up its pools.
    void begin_drain();
    void apply_list(const std::vector<listed_instance>& instances);

    std::string failure_domain_of(const std::string& id) const;
    /// True if another member is known to be alive.
    bool has_live_peer() const;
    bool is_draining() const { return is_draining_; }
    std::size_t member_count() const { return member_count_; }
    /// Members that may hold credits: neither dead nor, as far as known, replaced.
    std::size_t possible_member_count() const;

private:
    void send_all(const std::vector<membership::outgoing_message>& messages);
    void receive(const std::string& from, const wire::envelope& message);
    std::vector<membership::member> granter_candidates() const;
    std::string peer_address_of(const std::string& id) const;
    double allowance_share() const;
    bool may_own() const;

    const clock_source& clock_;
    bool suspects_keep_pools_;
    steady_time solo_ownership_from_;
    steady_time minority_ownership_from_;
    bool may_own_ = false; ///< at the last check of the members
    node_callbacks callbacks_;
    std::uint64_t known_members_ = 0; ///< their changes at the last check
    std::size_t member_count_ = 0;    ///< with this instance
    bool is_draining_ = false;

public:
    membership::member_table members;
    peer::peer_transport transport;
    granting::message_router router;
    granting::decision_log decisions;
    granting::pools owned_pools;
    granting::credit_client credit_client;
    manifest_follower manifests;
};

} // namespace almondline::fleet
