#pragma once

#include "common/clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondline::placement {

/// Load of one model in units of replicas: the requests waiting and in progress divided by the
/// number of requests that one replica serves concurrently.
struct model_demand {
    std::string model;
    double load = 0;
};

/// State of a replica from its last load report. A replica serves one model at a time.
struct replica_status {
    std::string id;
    std::string address;
    std::string failure_domain;
    std::string model; ///< loaded model, empty if none or while loading
    int in_flight = 0;
    bool is_draining = false; ///< its role is draining
    bool is_leaving = false;  ///< the backend server is shutting down
};

enum class order_kind {
    drain, ///< role draining: accept no new requests
    load,  ///< load a model in place of the current one
    serve  ///< role serving
};

/// Returns the name used in status reports and logs: "drain", "load" or "serve".
const char* to_string(order_kind kind);

/// One step of the plan. Declarative: repeating it changes nothing.
struct placement_decision {
    order_kind kind = order_kind::serve;
    std::string replica_id;
    std::string address;
    std::string model;    ///< load: model to load; drain: model to load next; serve: loaded model
    std::string replaces; ///< load: model to unload first, empty if none
    std::string reason;
    bool is_repeated = false; ///< an earlier order has had no effect so far
};

/// Settings of the planner.
struct plan_settings {
    /// The two thresholds differ so that a load between them changes nothing.
    double scale_up_load = 0.8;   ///< add replicas above this load per replica
    double scale_down_load = 0.5; ///< remove replicas below this load per replica
    std::chrono::seconds scale_up_after{5};
    std::chrono::seconds scale_down_after{60};
    /// Replicas that may drain or load at the same time. None of them serves requests meanwhile.
    std::size_t max_changes_in_progress = 2;
    std::chrono::seconds resend_role_after{5};
    std::chrono::seconds resend_load_after{300};
};

/// Token bucket for reads from the weight store, in MB. A model larger than the burst size is
/// loaded once the bucket is full, and leaves a negative balance.
struct weight_budget {
    double mb_per_second = 0;
    double burst_mb = 0;
    double available_mb = 0; ///< starts empty: the previous holder may have used the burst
    steady_time last_refill{};
};

/// Refills the budget, then consumes the size and returns true if the budget suffices.
bool consume_weight_budget(weight_budget& budget, double size_mb, steady_time now);

enum class change_phase {
    draining,
    loading,
    serving ///< the model is loaded, the role is not serving yet
};

/// Model change of one replica in progress.
struct replica_change {
    std::string model; ///< model that the replica will serve
    change_phase phase = change_phase::draining;
    steady_time last_order{};
};

/// Wanted replicas of a model, and since when the load has called for more or for fewer.
struct model_target {
    int replicas = 0;
    bool is_known = false;
    std::optional<steady_time> above_since;
    std::optional<steady_time> below_since;
};

/// State that the planner keeps between calls. A new lease holder starts with an empty one.
struct plan_state {
    std::map<std::string, model_target> targets;
    std::map<std::string, replica_change> changes; ///< by replica id
};

} // namespace almondline::placement
