#pragma once

#include "entry/entry_settings.h"
#include "granting/pools.h"
#include "membership/member_table.h"
#include "peer/peer_sender.h"
#include "placement/http_order_sender.h"
#include "placement/placement_coordinator.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondline::entry {

/// Returns the instances that may hold the placement lease: two of the live members by rendezvous
/// hashing, so that few instances poll the lease record.
std::vector<std::string> placement_candidates(const std::vector<membership::member>& live);

/// Placement on this instance. Runs the placement coordinator if the instance is a candidate for
/// the lease. For the pools that it owns, it reports the demand to the candidates and applies the
/// drains that the lease holder orders. Sends no reports and makes no plans while the manifest has
/// no placements. Runs on the control thread.
class placement_control {
public:
    /// The references must outlive the object.
    placement_control(const entry_settings& settings, const clock_source& clock,
                      boost::asio::any_io_executor executor, key_value_store& store,
                      peer_sender& sender, granting::pools& owned_pools);

    void apply_manifest(std::shared_ptr<const manifest> content);
    /// live: the members that are alive and not leaving; excludes this instance while it drains.
    void update_members(const std::vector<membership::member>& live);
    void tick(steady_time now);
    /// Returns false if the message does not concern placement.
    bool handle(const std::string& from, const wire::envelope& message, steady_time now);
    /// Returns the placement section of the status report.
    boost::json::object describe() const;

private:
    struct pool_report {
        steady_time received{};
        placement::placement_input input;
    };
    struct drain_order {
        std::uint64_t fencing = 0;
        steady_time expires{};
        bool is_in_force = false;
    };

    bool is_candidate() const;
    std::vector<placement_policy> policies_of(const service_policy& service) const;
    std::vector<placement::placement_input> read_input() const;
    void update_candidacy();
    void send_reports();
    void send_drains(steady_time now);
    void end_expired_drains(steady_time now);
    void handle_report(const wire::envelope& message, steady_time now);
    void handle_drain(const std::string& from, const wire::envelope& message, steady_time now);

    std::string instance_id_;
    const clock_source& clock_;
    peer_sender& sender_;
    granting::pools& owned_pools_;
    placement::placement_settings settings_;
    placement::http_order_sender orders_;
    placement::placement_coordinator coordinator_;
    std::shared_ptr<const manifest> manifest_;
    std::vector<std::string> candidates_;
    std::map<std::string, pool_report> reports_; ///< received as a candidate, by pool
    std::map<std::string, drain_order> drains_;  ///< received as the owner, by pool
    steady_time next_report_{};
    steady_time next_drains_{};
};

} // namespace almondline::entry
