#include "placement/placement_coordinator.h"

#include "common/log.h"
#include "placement/plan.h"

#include <algorithm>

namespace almondline::placement {

namespace {

constexpr std::size_t max_recent_orders = 20;

} // namespace

const char* to_string(order_status status)
{
    switch (status) {
    case order_status::done:
        return "done";
    case order_status::stale:
        return "stale";
    case order_status::failed:
        return "failed";
    case order_status::unknown:
        break;
    }
    return "unknown";
}

struct placement_coordinator::state : std::enable_shared_from_this<state> {
    state(key_value_store& store, const clock_source& source, order_sender& orders,
          std::function<std::vector<placement_input>()> input, std::string instance_id,
          placement_settings placement)
        : clock{source}, sender{orders}, read_input{std::move(input)}, settings{placement},
          lease{store, source, placement_lease_key, std::move(instance_id), placement.lease}
    {
    }

    void tick(steady_time now);
    void plan(steady_time now);
    bool send(const std::string& pool, const placement_decision& decision);
    void note_result(const std::string& pool, const placement_order& order, order_status status);
    void resend_load_soon(const std::string& pool, const placement_order& order);
    void reset_plans();

    const clock_source& clock;
    order_sender& sender;
    std::function<std::vector<placement_input>()> read_input;
    placement_settings settings;
    lease_keeper lease;
    std::map<std::string, plan_state> plan_states; ///< by pool
    std::deque<recorded_order> recent;
    bool is_candidate = true;
    weight_budget budget;
    std::uint64_t planned_fencing = 0;
    std::uint64_t plan_version = 0;
    std::uint64_t orders_sent = 0;
    steady_time next_plan{};
};

void placement_coordinator::state::reset_plans()
{
    planned_fencing = lease.fencing();
    plan_states = {};
    budget = {settings.weight_mb_per_second, settings.weight_burst_mb, 0, {}};
}

void placement_coordinator::state::tick(steady_time now)
{
    lease.tick(now);
    if (!lease.may_send_orders(now) || now < next_plan) {
        return;
    }
    if (planned_fencing != lease.fencing()) {
        reset_plans();
    }
    next_plan = now + settings.plan_interval;
    plan(now);
}

void placement_coordinator::state::plan(steady_time now)
{
    for (const auto& input : read_input()) {
        const auto decisions = plan_placement(plan_states[input.pool], input.demand, input.replicas,
                                              input.policies, budget, settings.plan, now);
        for (const auto& it : decisions) {
            if (!send(input.pool, it)) {
                return;
            }
        }
    }
}

bool placement_coordinator::state::send(const std::string& pool, const placement_decision& decision)
{
    // The process may have been paused since the plan was made, so the clock is read again for each
    // order.
    const auto checked = clock.now();
    if (!lease.may_send_orders(checked)) {
        log_event(
            "placement", log_level::warning, "orders-stopped",
            {{"fencing", lease.fencing()}, {"reason", "the remaining lease time is too short"}});
        // The orders that were planned but not sent must be planned again.
        planned_fencing = 0;
        return false;
    }
    const auto timeout = std::min(settings.order_timeout, settings.lease.order_margin / 2);
    const placement_order order{decision.replica_id, decision.address,  decision.kind,
                                decision.model,      decision.replaces, checked + timeout,
                                lease.fencing(),     ++plan_version};
    log_event("placement", log_level::info, "placement-decision",
              {{"replica", order.replica_id},
               {"order", to_string(order.kind)},
               {"model", order.model},
               {"reason", decision.reason},
               {"repeated", decision.is_repeated ? "yes" : "no"},
               {"fencing", order.fencing},
               {"plan_version", order.plan_version}});
    ++orders_sent;
    recent.push_back({order, decision.reason, "pending"});
    if (recent.size() > max_recent_orders) {
        recent.pop_front();
    }
    sender.send(order, timeout, [weak = weak_from_this(), pool, order](order_status status) {
        if (const auto self = weak.lock()) {
            self->note_result(pool, order, status);
        }
    });
    return true;
}

/// A load order is normally resent only after resend_load_after, the longest time a load may take.
/// If the engine did not accept the order, the replica would have no model for that long, so it is
/// resent after resend_role_after instead.
void placement_coordinator::state::resend_load_soon(const std::string& pool,
                                                    const placement_order& order)
{
    const auto plan = plan_states.find(pool);
    if (plan == plan_states.end() || order.kind != order_kind::load) {
        return;
    }
    const auto it = plan->second.changes.find(order.replica_id);
    if (it != plan->second.changes.end() && it->second.phase == change_phase::loading) {
        it->second.last_order =
            clock.now() - settings.plan.resend_load_after + settings.plan.resend_role_after;
    }
}

void placement_coordinator::state::note_result(const std::string& pool,
                                               const placement_order& order, order_status status)
{
    const auto kept = std::find_if(recent.begin(), recent.end(), [&](const auto& it) {
        return it.order.plan_version == order.plan_version;
    });
    if (kept != recent.end()) {
        kept->outcome = to_string(status);
    }
    if (status == order_status::done) {
        return;
    }
    // The planner resends a failed order until the load report shows its effect.
    log_event("placement", log_level::warning, "order-without-effect",
              {{"replica", order.replica_id},
               {"outcome", to_string(status)},
               {"fencing", order.fencing}});
    if (order.fencing == lease.fencing()) {
        resend_load_soon(pool, order);
    }
    if (status == order_status::stale && order.fencing == lease.fencing()) {
        lease.step_down("an engine has seen a higher fencing token");
    }
}

placement_coordinator::placement_coordinator(
    key_value_store& store, const clock_source& clock, order_sender& sender,
    std::function<std::vector<placement_input>()> read_input, std::string instance_id,
    placement_settings settings)
    : state_{std::make_shared<state>(store, clock, sender, std::move(read_input),
                                     std::move(instance_id), settings)}
{
}

placement_coordinator::~placement_coordinator() = default;

void placement_coordinator::tick(steady_time now)
{
    state_->tick(now);
}

void placement_coordinator::set_candidate(bool is_candidate)
{
    state_->is_candidate = is_candidate;
    state_->lease.set_candidate(is_candidate);
}

std::map<std::string, std::set<std::string>>
placement_coordinator::draining_replicas(steady_time now) const
{
    std::map<std::string, std::set<std::string>> replicas;
    if (!state_->lease.may_send_orders(now) || state_->planned_fencing != state_->lease.fencing()) {
        return replicas;
    }
    for (const auto& [pool, plan] : state_->plan_states) {
        auto& ids = replicas[pool];
        for (const auto& [id, change] : plan.changes) {
            if (change.phase != change_phase::serving) {
                ids.insert(id);
            }
        }
    }
    return replicas;
}

placement_status placement_coordinator::status() const
{
    placement_status out;
    out.is_candidate = state_->is_candidate;
    out.is_holder = is_holder();
    out.holder_instance = state_->lease.seen_holder();
    out.fencing = out.is_holder ? fencing() : state_->lease.seen_fencing();
    out.orders_sent = orders_sent();
    out.plan_version = state_->plan_version;
    out.plans = state_->plan_states;
    out.recent = state_->recent;
    return out;
}

bool placement_coordinator::is_holder() const
{
    return state_->lease.is_held();
}

std::uint64_t placement_coordinator::fencing() const
{
    return state_->lease.fencing();
}

std::uint64_t placement_coordinator::orders_sent() const
{
    return state_->orders_sent;
}

} // namespace almondline::placement
