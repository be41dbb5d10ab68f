#pragma once

#include "distribution/manifest_distributor.h"
#include "manifest/manifest_state.h"
#include "membership/member_table.h"
#include "peer/peer_sender.h"

#include <functional>
#include <memory>
#include <string>

namespace almondline::entry {

/// Keeps the manifest in force on this instance up to date. Runs on the control thread.
class manifest_follower {
public:
    /// on_change runs after each manifest that is put in force. All references must outlive it.
    manifest_follower(membership::member_table& members, peer_sender& sender,
                      key_value_store& store, const clock_source& clock,
                      std::function<void()> on_change);

    void tick(steady_time now);
    /// Returns false if the message is none of manifest distribution.
    bool handle(const std::string& from, const wire::envelope& message, steady_time now);
    /// To be called with the sender's own record of each probe.
    void on_peer(const membership::member& peer, steady_time now);

    /// Null until a manifest is in force that is not older than what the store or peers named.
    std::shared_ptr<const manifest> usable() const;
    std::int64_t version() const { return state_.version(); }
    std::string digest() const { return state_.digest(); }
    bool is_watcher() const { return distributor_.is_watcher(); }
    const distribution::distribution_counters& counters() const { return distributor_.counters(); }

private:
    distribution::distribution_callbacks callbacks(peer_sender& sender, key_value_store& store);
    bool apply(const distribution::manifest_copy& copy, const std::string& source);

    membership::member_table& members_;
    std::function<void()> on_change_;
    manifest_state state_;
    distribution::manifest_distributor distributor_;
    bool was_ready_ = false;
};

} // namespace almondline::entry
