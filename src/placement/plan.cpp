#include "placement/plan.h"

#include "placement/internal/targets.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace almondline::placement {

namespace {

/// One call of the planner.
class planner {
public:
    planner(plan_state& state, const std::vector<replica_status>& replicas,
            const std::vector<placement_policy>& policies, weight_budget& budget,
            const plan_settings& settings, steady_time now)
        : state_{state}, replicas_{replicas}, policies_{policies}, budget_{budget},
          settings_{settings}, now_{now}
    {
    }

    std::vector<placement_decision> run()
    {
        remove_lost_changes();
        for (const auto& it : replicas_) {
            count(it, 1);
        }
        wanted_ = distribute_replicas(state_, policies_, static_cast<int>(count_usable()));
        for (const auto& it : replicas_) {
            advance_change(it);
        }
        for (const auto& model : models_by_need()) {
            add_replicas(model);
        }
        return_idle_replicas();
        return std::move(decisions_);
    }

private:
    using replica_rank = std::tuple<int, int, int, std::string_view>;

    bool is_changing(const replica_status& replica) const
    {
        return state_.changes.count(replica.id) != 0;
    }
    bool is_available(const replica_status& replica) const
    {
        return !replica.is_leaving && !is_changing(replica);
    }

    std::size_t count_usable() const
    {
        return static_cast<std::size_t>(std::count_if(
            replicas_.begin(), replicas_.end(), [](const auto& it) { return !it.is_leaving; }));
    }

    int wanted(const std::string& model) const
    {
        const auto it = wanted_.find(model);
        return it == wanted_.end() ? 0 : it->second;
    }

    /// Replicas that serve the model, or will once their change is complete.
    int assigned(const std::string& model) const
    {
        const auto it = assigned_.find(model);
        return it == assigned_.end() ? 0 : it->second;
    }

    int count_in_domain(const std::string& model, const std::string& domain) const
    {
        const auto it = in_domain_.find({model, domain});
        return it == in_domain_.end() ? 0 : it->second;
    }

    /// Adds a replica to the counts (by = 1) or removes it (by = -1).
    void count(const replica_status& replica, int by)
    {
        const auto change = state_.changes.find(replica.id);
        if (change != state_.changes.end()) {
            assigned_[change->second.model] += by;
            in_domain_[{change->second.model, replica.failure_domain}] += by;
            return;
        }
        if (!replica.is_leaving) {
            assigned_[replica.model] += replica.is_draining ? 0 : by;
            in_domain_[{replica.model, replica.failure_domain}] += by;
        }
    }

    void start_change(const replica_status& replica, const replica_change& change)
    {
        count(replica, -1);
        state_.changes[replica.id] = change;
        count(replica, 1);
    }

    void end_change(const replica_status& replica)
    {
        count(replica, -1);
        state_.changes.erase(replica.id);
        count(replica, 1);
    }

    double size_of(const std::string& model) const
    {
        const auto it = std::find_if(policies_.begin(), policies_.end(),
                                     [&](const auto& x) { return x.model == model; });
        return it == policies_.end() ? 0 : it->size_mb;
    }

    void decide(order_kind kind, const replica_status& replica, const std::string& model,
                std::string reason, bool is_repeated = false)
    {
        const bool is_replacement = kind == order_kind::load && replica.model != model;
        decisions_.push_back({kind, replica.id, replica.address, model,
                              is_replacement ? replica.model : std::string{}, std::move(reason),
                              is_repeated});
    }

    void serve(const replica_status& replica, const std::string& reason)
    {
        start_change(replica, {replica.model, change_phase::serving, now_});
        decide(order_kind::serve, replica, replica.model, reason);
    }

    std::size_t count_out_of_service() const
    {
        return static_cast<std::size_t>(
            std::count_if(state_.changes.begin(), state_.changes.end(),
                          [](const auto& it) { return it.second.phase != change_phase::serving; }));
    }

    void remove_lost_changes()
    {
        std::erase_if(state_.changes, [&](const auto& change) {
            const auto it = std::find_if(replicas_.begin(), replicas_.end(),
                                         [&](const auto& x) { return x.id == change.first; });
            return it == replicas_.end() || it->is_leaving;
        });
    }

    void advance_change(const replica_status& replica)
    {
        const auto it = state_.changes.find(replica.id);
        if (it == state_.changes.end()) {
            return;
        }
        switch (it->second.phase) {
        case change_phase::draining:
            advance_drain(replica, it->second);
            return;
        case change_phase::loading:
            advance_load(replica, it->second);
            return;
        case change_phase::serving:
            advance_return(replica, it->second);
            return;
        }
    }

    void advance_drain(const replica_status& replica, replica_change& change)
    {
        if (assigned(change.model) > wanted(change.model)) {
            serve(replica, "the change is no longer needed");
            return;
        }
        if (!replica.is_draining) {
            resend_if_due(replica, change, order_kind::drain);
            return;
        }
        if (replica.in_flight == 0) {
            load(replica, change, "the last request finished");
        }
    }

    void advance_load(const replica_status& replica, replica_change& change)
    {
        if (replica.model == change.model) {
            serve(replica, "the model is loaded");
            return;
        }
        const bool is_due = now_ - change.last_order >= settings_.resend_load_after;
        if (is_due && consume_weight_budget(budget_, size_of(change.model), now_)) {
            change.last_order = now_;
            decide(order_kind::load, replica, change.model, "the load did not finish", true);
        }
    }

    void advance_return(const replica_status& replica, replica_change& change)
    {
        if (replica.is_draining) {
            resend_if_due(replica, change, order_kind::serve);
            return;
        }
        end_change(replica);
    }

    void resend_if_due(const replica_status& replica, replica_change& change, order_kind kind)
    {
        if (now_ - change.last_order >= settings_.resend_role_after) {
            change.last_order = now_;
            decide(kind, replica, change.model, "the order has had no effect so far", true);
        }
    }

    bool load(const replica_status& replica, replica_change& change, const std::string& reason)
    {
        if (!consume_weight_budget(budget_, size_of(change.model), now_)) {
            return false;
        }
        change.phase = change_phase::loading;
        change.last_order = now_;
        decide(order_kind::load, replica, change.model, reason);
        return true;
    }

    /// Models that lack replicas: those below their minimum first, then those with the lowest share
    /// of their wanted replicas.
    std::vector<std::string> models_by_need() const
    {
        std::vector<std::tuple<bool, double, std::string>> needs;
        for (const auto& it : policies_) {
            const int has = assigned(it.model);
            const int wants = wanted(it.model);
            if (has < wants) {
                needs.emplace_back(has >= it.min_replicas, static_cast<double>(has) / wants,
                                   it.model);
            }
        }
        std::sort(needs.begin(), needs.end());
        std::vector<std::string> models;
        models.reserve(needs.size());
        for (auto& it : needs) {
            models.push_back(std::move(std::get<2>(it)));
        }
        return models;
    }

    void add_replicas(const std::string& model)
    {
        for (int n = assigned(model); n < wanted(model); ++n) {
            if (!add_replica(model)) {
                return;
            }
        }
    }

    bool add_replica(const std::string& model)
    {
        // A former lease holder may have left a replica draining that already has the model loaded.
        for (const auto& it : replicas_) {
            if (is_available(it) && it.is_draining && it.model == model) {
                serve(it, "the model is already loaded");
                return true;
            }
        }
        if (count_out_of_service() >= settings_.max_changes_in_progress) {
            return false;
        }
        const auto* replica = choose_replica(model);
        if (replica == nullptr) {
            return false;
        }
        const std::string reason = "has " + std::to_string(assigned(model)) + " replicas, wants " +
                                   std::to_string(wanted(model));
        if (replica->model.empty()) {
            replica_change change{model, change_phase::loading, now_};
            if (!load(*replica, change, reason)) {
                return false;
            }
            start_change(*replica, change);
            return true;
        }
        start_change(*replica, {model, change_phase::draining, now_});
        decide(order_kind::drain, *replica, model, reason);
        return true;
    }

    /// Chooses a replica without a model, one left draining, or one of a model with a surplus,
    /// preferring the first two; among these, the failure domain with the fewest replicas of the
    /// model, then the fewest requests in flight.
    const replica_status* choose_replica(const std::string& model) const
    {
        const replica_status* best = nullptr;
        replica_rank best_rank;
        for (const auto& it : replicas_) {
            if (!is_available(it) || it.model == model) {
                continue;
            }
            const bool is_idle = it.model.empty() || it.is_draining;
            if (!is_idle && assigned(it.model) <= wanted(it.model)) {
                continue;
            }
            const replica_rank rank{is_idle ? 0 : 1, count_in_domain(model, it.failure_domain),
                                    it.in_flight, it.id};
            if (best == nullptr || rank < best_rank) {
                best = &it;
                best_rank = rank;
            }
        }
        return best;
    }

    /// Orders replicas that drain without a change in progress to serve again: otherwise their
    /// capacity would be lost.
    void return_idle_replicas()
    {
        for (const auto& it : replicas_) {
            if (is_available(it) && it.is_draining && !it.model.empty()) {
                serve(it, "no change needs this replica");
            }
        }
    }

    plan_state& state_;
    const std::vector<replica_status>& replicas_;
    const std::vector<placement_policy>& policies_;
    weight_budget& budget_;
    const plan_settings& settings_;
    steady_time now_;
    std::map<std::string, int> wanted_;
    std::map<std::string, int> assigned_;
    std::map<std::pair<std::string, std::string>, int> in_domain_; ///< by model and failure domain
    std::vector<placement_decision> decisions_;
};

} // namespace

const char* to_string(order_kind kind)
{
    switch (kind) {
    case order_kind::drain:
        return "drain";
    case order_kind::load:
        return "load";
    case order_kind::serve:
        break;
    }
    return "serve";
}

bool consume_weight_budget(weight_budget& budget, double size_mb, steady_time now)
{
    if (budget.last_refill == steady_time{}) {
        budget.last_refill = now;
    }
    const std::chrono::duration<double> passed = now - budget.last_refill;
    budget.available_mb =
        std::min(budget.burst_mb, budget.available_mb + passed.count() * budget.mb_per_second);
    budget.last_refill = now;
    if (budget.available_mb < std::min(size_mb, budget.burst_mb)) {
        return false;
    }
    budget.available_mb -= size_mb;
    return true;
}

std::vector<placement_decision> plan_placement(plan_state& state,
                                               const std::vector<model_demand>& demand,
                                               const std::vector<replica_status>& replicas,
                                               const std::vector<placement_policy>& policies,
                                               weight_budget& budget, const plan_settings& settings,
                                               steady_time now)
{
    update_targets(state, demand, replicas, policies, settings, now);
    return planner{state, replicas, policies, budget, settings, now}.run();
}

} // namespace almondline::placement
