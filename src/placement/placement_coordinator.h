#pragma once

#include "manifest/types/manifest.h"
#include "placement/lease_keeper.h"
#include "placement/order_sender.h"
#include "placement/types/placement.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondline::placement {

constexpr const char* placement_lease_key = "placement/lease";

struct placement_settings {
    lease_settings lease;
    plan_settings plan;
    std::chrono::milliseconds plan_interval{1'000};
    /// Timeout of one order. Capped at half of the lease's order_margin.
    std::chrono::milliseconds order_timeout{1'000};
    double weight_mb_per_second = 500; ///< rate limit of the weight store
    double weight_burst_mb = 60'000;   ///< burst that the rate limit allows
};

/// Input to the plan of one pool. Replicas change models only within their pool.
struct placement_input {
    std::string pool;
    std::vector<model_demand> demand;
    std::vector<replica_status> replicas;
    std::vector<placement_policy> policies;
};

/// Sent order and its outcome, for status reports.
struct recorded_order {
    placement_order order;
    std::string reason;
    std::string outcome; ///< "pending", "done", "stale", "failed" or "unknown"
};

struct placement_status {
    bool is_candidate = false;
    bool is_holder = false;
    std::string holder_instance; ///< as of the last read of the record, empty if unknown
    std::uint64_t fencing = 0;   ///< revision of the record when last read, 0 if there was none
    std::uint64_t orders_sent = 0;
    std::uint64_t plan_version = 0;
    std::map<std::string, plan_state> plans; ///< by pool
    std::deque<recorded_order> recent;       ///< oldest first
};

/// Controls model placement. Runs on each candidate instance; only the lease holder plans and sends
/// orders. Must be used on the control thread.
class placement_coordinator {
public:
    /// The references must outlive the object. read_input is called before each plan. It omits
    /// pools whose state is currently unknown; these are not planned.
    placement_coordinator(key_value_store& store, const clock_source& clock, order_sender& sender,
                          std::function<std::vector<placement_input>()> read_input,
                          std::string instance_id, placement_settings settings);
    ~placement_coordinator();
    placement_coordinator(const placement_coordinator&) = delete;
    placement_coordinator& operator=(const placement_coordinator&) = delete;

    /// Acquires or renews the lease; as its holder, plans and sends orders every plan_interval.
    void tick(steady_time now);
    void set_candidate(bool is_candidate);

    /// Returns by pool the replicas that must receive no requests because they drain or load a
    /// model. Empty unless this instance may send orders. Omits pools that have not been planned
    /// yet.
    std::map<std::string, std::set<std::string>> draining_replicas(steady_time now) const;
    placement_status status() const;
    bool is_holder() const;
    std::uint64_t fencing() const;
    std::uint64_t orders_sent() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace almondline::placement
