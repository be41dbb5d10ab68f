#pragma once

#include "common/clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondline::placement {

/// Work for one model, in replicas' worth: requests waiting and in progress divided by the requests
/// that one replica serves at once.
struct model_demand {
    std::string model;
    double load = 0;
};

/// What a replica's last load report says. A replica serves one model at a time.
struct replica_status {
    std::string id;
    std::string address;
    std::string failure_domain;
    std::string model; ///< loaded model, empty if none or while loading
    int in_flight = 0;
    bool is_draining = false; ///< its role is draining
    bool is_leaving = false;  ///< the instance is going away
};

enum class order_kind {
    drain, ///< role draining: accept no new requests
    load,  ///< load a model in place of the present one
    serve  ///< role serving
};

/// Name used in orders and logs: "drain", "load" or "serve".
const char* to_string(order_kind kind);

/// One step of the plan. Declarative: repeating it changes nothing.
struct placement_decision {
    order_kind kind = order_kind::serve;
    std::string replica_id;
    std::string address;
    std::string model;    ///< load: model to load; drain: model to follow; serve: loaded model
    std::string replaces; ///< load: model to unload before, empty if none
    std::string reason;
    bool is_repeated = false; ///< an earlier order had no effect yet
};

/// Settings of the planner.
struct plan_settings {
    /// The two thresholds differ, so that a load between them changes nothing.
    double scale_up_load = 0.8;   ///< add replicas above this load per replica
    double scale_down_load = 0.5; ///< remove replicas below this load per replica
    std::chrono::seconds scale_up_after{5};
    std::chrono::seconds scale_down_after{60};
    /// Replicas that drain or load at once. Each one is missing from the capacity meanwhile.
    std::size_t max_changes_in_progress = 2;
    std::chrono::seconds resend_role_after{5};
    std::chrono::seconds resend_load_after{300};
};

/// Allowance for reads of the weight store, in MB. A model above the burst size is loaded when the
/// allowance is full, and leaves a debt.
struct weight_budget {
    double mb_per_second = 0;
    double burst_mb = 0;
    double available_mb = 0; ///< empty at first: the previous holder may have used its burst
    steady_time last_refill{};
};

/// Returns true and takes the size from the allowance if it suffices.
bool take_weight_budget(weight_budget& budget, double size_mb, steady_time now);

enum class change_phase {
    draining,
    loading,
    serving ///< has the model, its role is not serving yet
};

/// Change of one replica that is in progress.
struct replica_change {
    std::string model; ///< that the replica will serve
    change_phase phase = change_phase::draining;
    steady_time last_order{};
};

/// Replicas wanted for a model, with the times since which the load asks for another number.
struct model_target {
    int replicas = 0;
    bool is_known = false;
    std::optional<steady_time> above_since;
    std::optional<steady_time> below_since;
};

/// What the planner remembers between calls. A new holder starts with an empty one.
struct plan_state {
    std::map<std::string, model_target> targets;
    std::map<std::string, replica_change> changes; ///< by replica id
};

} // namespace almondline::placement
