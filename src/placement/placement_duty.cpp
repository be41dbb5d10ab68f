#include "placement/placement_duty.h"

#include "common/log.h"
#include "placement/plan.h"

#include <algorithm>

namespace almondline::placement {

struct placement_duty::state : std::enable_shared_from_this<state> {
    state(key_value_store& store, const clock_source& source, order_sender& orders,
          std::function<placement_input()> input, std::string instance_id,
          placement_settings placement)
        : clock{source}, sender{orders}, read_input{std::move(input)}, settings{placement},
          lease{store, source, placement_lease_key, std::move(instance_id), placement.lease}
    {
    }

    void tick(steady_time now);
    void plan(steady_time now);
    bool send(const placement_decision& decision);
    void note_result(const placement_order& order, order_status status);
    void start_over();

    const clock_source& clock;
    order_sender& sender;
    std::function<placement_input()> read_input;
    placement_settings settings;
    lease_keeper lease;
    plan_state memory;
    weight_budget budget;
    std::uint64_t planned_fencing = 0;
    std::uint64_t plan_version = 0;
    std::uint64_t orders_sent = 0;
    steady_time next_plan{};
};

void placement_duty::state::start_over()
{
    planned_fencing = lease.fencing();
    memory = {};
    budget = {settings.weight_mb_per_second, settings.weight_burst_mb, 0, {}};
}

void placement_duty::state::tick(steady_time now)
{
    lease.tick(now);
    if (!lease.may_send_orders(now) || now < next_plan) {
        return;
    }
    if (planned_fencing != lease.fencing()) {
        start_over();
    }
    next_plan = now + settings.plan_interval;
    plan(now);
}

void placement_duty::state::plan(steady_time now)
{
    const auto input = read_input();
    const auto decisions = plan_placement(memory, input.demand, input.replicas, input.policies,
                                          budget, settings.plan, now);
    for (const auto& it : decisions) {
        if (!send(it)) {
            return;
        }
    }
}

bool placement_duty::state::send(const placement_decision& decision)
{
    // The process may have been paused since the plan was made, so each order asks the clock anew.
    if (!lease.may_send_orders(clock.now())) {
        log_event("placement", log_level::warning, "orders-stopped",
                  {{"fencing", lease.fencing()}, {"reason", "too little of the lease is left"}});
        // What was planned and not sent must be planned again.
        planned_fencing = 0;
        return false;
    }
    const placement_order order{decision.replica_id, decision.address, decision.kind,
                                decision.model,      lease.fencing(),  ++plan_version};
    log_event("placement", log_level::info, "placement-decision",
              {{"replica", order.replica_id},
               {"order", to_string(order.kind)},
               {"model", order.model},
               {"reason", decision.reason},
               {"repeated", decision.is_repeated ? "yes" : "no"},
               {"fencing", order.fencing},
               {"plan_version", order.plan_version}});
    ++orders_sent;
    const auto timeout = std::min(settings.order_timeout, settings.lease.order_margin / 2);
    sender.send(order, timeout, [weak = weak_from_this(), order](order_status status) {
        if (const auto self = weak.lock()) {
            self->note_result(order, status);
        }
    });
    return true;
}

void placement_duty::state::note_result(const placement_order& order, order_status status)
{
    if (status == order_status::done) {
        return;
    }
    const char* outcome = status == order_status::stale    ? "stale"
                          : status == order_status::failed ? "failed"
                                                           : "unknown";
    // A failed order is repeated by the plan until the load report shows its effect.
    log_event("placement", log_level::warning, "order-without-effect",
              {{"replica", order.replica_id}, {"outcome", outcome}, {"fencing", order.fencing}});
    if (status == order_status::stale && order.fencing == lease.fencing()) {
        lease.step_down("an engine has seen a higher fencing number");
    }
}

placement_duty::placement_duty(key_value_store& store, const clock_source& clock,
                               order_sender& sender, std::function<placement_input()> read_input,
                               std::string instance_id, placement_settings settings)
    : state_{std::make_shared<state>(store, clock, sender, std::move(read_input),
                                     std::move(instance_id), settings)}
{
}

placement_duty::~placement_duty() = default;

void placement_duty::tick(steady_time now)
{
    state_->tick(now);
}

void placement_duty::set_candidate(bool is_candidate)
{
    state_->lease.set_candidate(is_candidate);
}

bool placement_duty::is_holder() const
{
    return state_->lease.is_held();
}

std::uint64_t placement_duty::fencing() const
{
    return state_->lease.fencing();
}

std::uint64_t placement_duty::orders_sent() const
{
    return state_->orders_sent;
}

} // namespace almondline::placement
