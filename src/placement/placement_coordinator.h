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
    /// Limit of one order. At most half of the lease's order_margin is used.
    std::chrono::milliseconds order_timeout{1'000};
    double weight_mb_per_second = 500; ///< rate limit of the weight store
    double weight_burst_mb = 60'000;
};

/// What the plan of one pool depends on. Replicas are changed within their pool only.
struct placement_input {
    std::string pool;
    std::vector<model_demand> demand;
    std::vector<replica_status> replicas;
    std::vector<placement_policy> policies;
};

/// Order that was sent, for status reports.
struct recorded_order {
    placement_order order;
    std::string reason;
    std::string outcome; ///< "pending", "done", "stale", "failed" or "unknown"
};

struct placement_status {
    bool is_candidate = false;
    bool is_holder = false;
    std::string holder_instance; ///< by the last look at the record, empty if not known
    std::uint64_t fencing = 0;   ///< of the record at the last look, 0 if there was none
    std::uint64_t orders_sent = 0;
    std::uint64_t plan_version = 0;
    std::map<std::string, plan_state> plans; ///< by pool
    std::deque<recorded_order> recent;       ///< oldest first
};

/// Control of model placement. Runs on each candidate instance; the one that holds the lease plans
/// and sends orders. Used on the control thread.
class placement_coordinator {
public:
    /// The references must outlive the object. read_input is called before each plan; pools whose
    /// state is not known at the time are left out and not planned.
    placement_coordinator(key_value_store& store, const clock_source& clock, order_sender& sender,
                          std::function<std::vector<placement_input>()> read_input,
                          std::string instance_id, placement_settings settings);
    ~placement_coordinator();
    placement_coordinator(const placement_coordinator&) = delete;
    placement_coordinator& operator=(const placement_coordinator&) = delete;

    /// Keeps the lease and, when it is due, plans and sends orders.
    void tick(steady_time now);
    void set_candidate(bool is_candidate);

    /// Replicas by pool that must get no requests, because they are to be unloaded. Empty unless
    /// this instance may send orders. Nothing for pools that were not planned yet.
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
