#include "entry/internal/placement_control.h"

#include "common/hash.h"
#include "common/log.h"
#include "entry/internal/placement_messages.h"
#include "peer/wire.h"

#include <algorithm>
#include <boost/json/array.hpp>

namespace almondline::entry {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t candidate_count = 2;
constexpr std::string_view candidate_key = "placement";
constexpr milliseconds report_interval{1'000};
constexpr milliseconds drain_interval{250};
// Five report intervals. A plan based on older reports could unload a replica that has received
// requests since.
constexpr milliseconds max_report_age{5'000};

placement::placement_settings make_settings(const entry_settings& settings)
{
    placement::placement_settings out;
    const auto lifetime = settings.placement_lease;
    out.lease.lifetime = lifetime;
    out.lease.renew_interval = lifetime * 3 / 10;
    out.lease.retry_interval = lifetime / 10;
    out.lease.poll_interval = lifetime / 2;
    out.lease.order_margin = settings.placement_order_margin;
    out.weight_mb_per_second = settings.weight_mb_per_second;
    return out;
}

const char* phase_name(placement::change_phase phase)
{
    switch (phase) {
    case placement::change_phase::draining:
        return "draining";
    case placement::change_phase::loading:
        return "loading";
    case placement::change_phase::serving:
        break;
    }
    return "serving";
}

json::array describe_plans(const std::map<std::string, placement::plan_state>& plans)
{
    json::array out;
    for (const auto& [pool, plan] : plans) {
        json::array models;
        for (const auto& [model, target] : plan.targets) {
            models.push_back(json::object{{"model", model}, {"replicas", target.replicas}});
        }
        json::array changes;
        for (const auto& [id, change] : plan.changes) {
            changes.push_back(json::object{
                {"replica", id}, {"model", change.model}, {"phase", phase_name(change.phase)}});
        }
        out.push_back(json::object{
            {"pool", pool}, {"targets", std::move(models)}, {"changes", std::move(changes)}});
    }
    return out;
}

json::array describe_orders(const std::deque<placement::recorded_order>& orders)
{
    json::array out;
    for (const auto& it : orders) {
        out.push_back(json::object{{"plan_version", it.order.plan_version},
                                   {"replica", it.order.replica_id},
                                   {"order", placement::to_string(it.order.kind)},
                                   {"model", it.order.model},
                                   {"fencing", it.order.fencing},
                                   {"outcome", it.outcome},
                                   {"reason", it.reason}});
    }
    return out;
}

} // namespace

std::vector<std::string> placement_candidates(const std::vector<membership::member>& live)
{
    std::vector<std::string> ids;
    for (const auto& it : live) {
        if (it.incarnation != 0) {
            ids.push_back(it.id);
        }
    }
    auto order = rendezvous_order(candidate_key, std::move(ids));
    order.resize(std::min(order.size(), candidate_count));
    return order;
}

placement_control::placement_control(const entry_settings& settings, const clock_source& clock,
                                     boost::asio::any_io_executor executor, key_value_store& store,
                                     peer_sender& sender, granting::pools& owned_pools)
    : instance_id_{settings.instance_id}, clock_{clock}, sender_{sender}, owned_pools_{owned_pools},
      settings_{make_settings(settings)}, orders_{std::move(executor), clock},
      coordinator_{store,    clock, orders_, [this] { return read_input(); }, settings.instance_id,
                   settings_}
{
    coordinator_.set_candidate(false);
}

void placement_control::apply_manifest(std::shared_ptr<const manifest> content)
{
    manifest_ = std::move(content);
    update_candidacy();
}

void placement_control::update_members(const std::vector<membership::member>& live)
{
    candidates_ = placement_candidates(live);
    update_candidacy();
}

bool placement_control::is_candidate() const
{
    return manifest_ != nullptr && !manifest_->placements.empty() &&
           std::find(candidates_.begin(), candidates_.end(), instance_id_) != candidates_.end();
}

void placement_control::update_candidacy()
{
    coordinator_.set_candidate(is_candidate());
}

std::vector<placement_policy> placement_control::policies_of(const service_policy& service) const
{
    std::vector<placement_policy> out;
    for (const auto& it : manifest_->placements) {
        const auto& models = service.models;
        if (std::find(models.begin(), models.end(), it.model) != models.end()) {
            out.push_back(it);
        }
    }
    return out;
}

std::vector<placement::placement_input> placement_control::read_input() const
{
    std::vector<placement::placement_input> out;
    const auto now = clock_.now();
    for (const auto& it : reports_) {
        if (now - it.second.received <= max_report_age) {
            out.push_back(it.second.input);
        }
    }
    return out;
}

void placement_control::tick(steady_time now)
{
    end_expired_drains(now);
    if (manifest_ == nullptr || manifest_->placements.empty()) {
        return;
    }
    if (now >= next_report_) {
        next_report_ = now + report_interval;
        send_reports();
    }
    coordinator_.tick(now);
    if (now >= next_drains_) {
        next_drains_ = now + drain_interval;
        send_drains(now);
    }
}

void placement_control::send_reports()
{
    for (const auto& [pool, granter] : owned_pools_.granters()) {
        const auto* service = find_service(*manifest_, pool);
        if (service == nullptr || policies_of(*service).empty()) {
            continue;
        }
        const auto message = make_pool_demand(*granter);
        for (const auto& it : candidates_) {
            sender_.send(it, message);
        }
    }
}

void placement_control::send_drains(steady_time now)
{
    for (const auto& [pool, replicas] : coordinator_.draining_replicas(now)) {
        const auto owner = owned_pools_.owner_of(pool).instance_id;
        if (owner.empty()) {
            continue;
        }
        wire::drain_notice notice;
        notice.pool = pool;
        notice.fencing = static_cast<std::int64_t>(coordinator_.fencing());
        notice.replicas.assign(replicas.begin(), replicas.end());
        wire::envelope message;
        message.__set_drain(notice);
        sender_.send(owner, message);
    }
}

bool placement_control::handle(const std::string& from, const wire::envelope& message,
                               steady_time now)
{
    if (message.__isset.demand) {
        handle_report(message, now);
        return true;
    }
    if (message.__isset.drain) {
        handle_drain(from, message, now);
        return true;
    }
    return false;
}

void placement_control::handle_report(const wire::envelope& message, steady_time now)
{
    const auto* service =
        manifest_ == nullptr ? nullptr : find_service(*manifest_, message.demand.pool);
    if (service == nullptr) {
        return;
    }
    const auto policies = policies_of(*service);
    if (policies.empty()) {
        reports_.erase(message.demand.pool);
        return;
    }
    reports_[message.demand.pool] = {now, read_pool_demand(message, policies)};
}

void placement_control::handle_drain(const std::string& from, const wire::envelope& message,
                                     steady_time now)
{
    const auto& notice = message.drain;
    auto* granter = owned_pools_.find(notice.pool);
    if (granter == nullptr || notice.fencing <= 0) {
        return;
    }
    auto& order = drains_[notice.pool];
    const auto fencing = static_cast<std::uint64_t>(notice.fencing);
    if (fencing < order.fencing) {
        log_event("placement", log_level::warning, "stale-drain-notice",
                  {{"pool", notice.pool}, {"from", from}, {"fencing", fencing}});
        return;
    }
    // The lease holder may send an unload order until its lease expires, so the drain must last as
    // long.
    order = {fencing, now + settings_.lease.lifetime, true};
    granter->set_draining({notice.replicas.begin(), notice.replicas.end()});
}

void placement_control::end_expired_drains(steady_time now)
{
    for (auto& [pool, order] : drains_) {
        if (!order.is_in_force || now < order.expires) {
            continue;
        }
        order.is_in_force = false;
        if (auto* granter = owned_pools_.find(pool)) {
            granter->set_draining({});
        }
    }
}

json::object placement_control::describe() const
{
    const auto status = coordinator_.status();
    json::array candidates;
    for (const auto& it : candidates_) {
        candidates.emplace_back(it);
    }
    const bool is_used = manifest_ != nullptr && !manifest_->placements.empty();
    return {{"enabled", is_used},
            {"candidates", std::move(candidates)},
            {"candidate", is_candidate()},
            {"holder", status.is_holder},
            {"holder_instance", status.is_holder ? instance_id_ : status.holder_instance},
            {"fencing", status.fencing},
            {"plan_version", status.plan_version},
            {"orders_sent", status.orders_sent},
            {"plans", describe_plans(status.plans)},
            {"orders", describe_orders(status.recent)}};
}

} // namespace almondline::entry
