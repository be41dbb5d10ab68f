#pragma once

#include "distribution/manifest_distributor.h"
#include "manifest/manifest_state.h"
#include "membership/member_table.h"
#include "peer/peer_sender.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace almondline::fleet {

/// Location and format of the manifest in the store.
struct manifest_source {
    /// Reads the manifest text that a record of the watched key refers to. Calls done exactly once,
    /// asynchronously, with std::nullopt on failure.
    using body_reader =
        std::function<void(key_value_store& store, const get_result& record,
                           std::function<void(std::optional<distribution::manifest_copy>)> done)>;

    distribution::watch_config watch;
    body_reader read_body;
    manifest_parser parse = nullptr;
    int watchers_per_domain = 2;
    /// Rate at which texts are sent to all peers together.
    double bytes_per_second = distribution::distribution_config{}.bytes_per_second;
};

/// Returns the source for the project's own format: a pointer record that refers to the chunks of
/// the text.
manifest_source default_manifest_source();

/// Keeps the manifest in force on this instance up to date. Runs on the control thread.
class manifest_follower {
public:
    /// Runs work, then done on the control thread, as background_worker does.
    using background_runner =
        std::function<void(std::function<void()> work, std::function<void()> done)>;

    /// on_change runs whenever a manifest is put in force, and once when the follower becomes
    /// ready. All references must outlive the follower.
    manifest_follower(membership::member_table& members, peer_sender& sender,
                      key_value_store& store, const clock_source& clock, manifest_source source,
                      background_runner run_in_background, std::function<void()> on_change);

    void tick(steady_time now);
    /// Returns false if the message does not belong to manifest distribution.
    bool handle(const std::string& from, const wire::envelope& message, steady_time now);
    /// Must be called with the sender's own record from each received probe.
    void on_peer(const membership::member& peer, steady_time now);

    /// Returns null until the manifest in force is at least as new as the version that the store or
    /// the peers announced.
    std::shared_ptr<const manifest> usable() const;
    std::int64_t version() const { return state_.version(); }
    std::string digest() const { return state_.digest(); }
    bool is_watcher() const { return distributor_.is_watcher(); }
    const distribution::distribution_counters& counters() const { return distributor_.counters(); }

private:
    distribution::distribution_callbacks callbacks(peer_sender& sender, key_value_store& store);
    void apply(const std::shared_ptr<const distribution::manifest_copy>& copy,
               const std::string& source, std::function<void(bool)> done);
    bool put_in_force(checked_manifest checked);

    membership::member_table& members_;
    manifest_source source_;
    background_runner run_in_background_;
    std::function<void()> on_change_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< lets handlers detect destruction
    manifest_state state_;
    distribution::manifest_distributor distributor_;
    bool was_ready_ = false;
};

} // namespace almondline::fleet
