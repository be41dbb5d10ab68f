#include "entry/internal/control_state.h"

#include "common/hash.h"
#include "common/log.h"
#include "entry/internal/status_report.h"
#include "fleet/node_metrics.h"
#include "fleet/periodic.h"
#include "idempotency/wire_format.h"
#include "membership/wire_format.h"
#include "peer/wire.h"

#include <algorithm>

namespace almondline::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick_interval{50};
// Shorter than the minimum time between two writes of claims to the store (20 ms).
constexpr milliseconds claim_interval{10};
constexpr milliseconds metrics_interval{1'000};

std::int64_t milliseconds_since_epoch(system_time when)
{
    return std::chrono::duration_cast<milliseconds>(when.time_since_epoch()).count();
}

membership::member make_self(const entry_settings& settings, const clock_source& clock)
{
    membership::member self;
    self.id = settings.instance_id;
    self.incarnation = milliseconds_since_epoch(clock.wall());
    self.peer_address = settings.peer_address;
    self.caller_address = settings.caller_address;
    self.failure_domain = settings.failure_domain;
    return self;
}

peer::peer_settings make_peer_settings(const entry_settings& settings,
                                       const membership::member& self)
{
    peer::peer_settings out;
    out.instance_id = self.id;
    out.incarnation = self.incarnation;
    out.failure_domain = self.failure_domain;
    parse_endpoint(settings.peer_address, out.listen);
    out.credentials = settings.peer_credentials;
    return out;
}

granting::credit_client_settings make_credit_client_settings(const entry_settings& settings)
{
    granting::credit_client_settings out;
    out.instance_id = settings.instance_id;
    return out;
}

fleet::node_settings make_node_settings(const entry_settings& settings, const clock_source& clock)
{
    fleet::node_settings out;
    out.self = make_self(settings, clock);
    out.peer = make_peer_settings(settings, out.self);
    out.credit_client = make_credit_client_settings(settings);
    out.manifest = fleet::default_manifest_source();
    return out;
}

idempotency::guard_config make_guard_config(const membership::member& self)
{
    idempotency::guard_config out;
    out.instance_id = self.id;
    out.incarnation = self.incarnation;
    return out;
}

store_limits make_store_limits(const entry_settings& settings)
{
    store_limits limits;
    limits.timeouts.read = settings.store_timeout;
    return limits;
}

} // namespace

control_state::control_state(asio::io_context& context, const entry_settings& entry,
                             const clock_source& source, metrics_registry& registry)
    : io{context}, settings{entry}, clock{source}, metrics{registry},
      store{context.get_executor(), entry.store_addresses, make_store_limits(entry), source},
      list{context.get_executor(), {entry.list_address}, make_store_limits(entry).timeouts},
      node{context, source, store, make_node_settings(entry, source), node_callbacks()},
      decision_queries{entry.instance_id, node.decisions, node.router},
      monitor{context.get_executor(), source, entry.store_timeout,
              [this](const std::string& service) { return replicas_of(service); }},
      guard{make_guard_config(node.members.self()), guard_callbacks(), store, source},
      placement{entry, source, context.get_executor(), store, node.router, node.owned_pools}
{
}

fleet::node_callbacks control_state::node_callbacks()
{
    fleet::node_callbacks out;
    out.on_manifest = [this] { on_manifest(); };
    out.on_members = [this] { on_members(); };
    out.on_message = [this](const std::string& from, const wire::envelope& message) {
        return on_message(from, message);
    };
    return out;
}

routing::replica_table* control_state::replicas_of(const std::string& service)
{
    auto* granter = node.owned_pools.find(service);
    return granter == nullptr ? nullptr : &granter->replicas();
}

idempotency::guard_callbacks control_state::guard_callbacks()
{
    idempotency::guard_callbacks out;
    out.peers.send = [this](const std::string& to, const idempotency::message& content) {
        wire::envelope envelope;
        idempotency::to_wire(content, envelope);
        node.router.send(to, envelope);
    };
    out.peers.live_members = [this] {
        std::vector<std::string> ids;
        for (const auto& it : node.members.live_members()) {
            ids.push_back(it.id);
        }
        return ids;
    };
    out.holder = [this](const std::string& id, std::int64_t incarnation) {
        idempotency::holder_info info;
        info.is_gone =
            node.members.state_of(id, incarnation) == membership::incarnation_state::gone;
        const auto* it = node.members.find(id);
        info.caller_address = it == nullptr ? std::string{} : it->caller_address;
        return info;
    };
    return out;
}

void control_state::run_every(milliseconds interval, std::function<void()> action)
{
    fleet::run_periodically(io, interval, [self = shared_from_this(), action = std::move(action)] {
        if (self->is_stopped) {
            return false;
        }
        action();
        return true;
    });
}

void control_state::start()
{
    node.check_members();
    run_every(settings.list_poll, [this] { poll_list(); });
    run_every(settings.load_poll, [this] { poll_engines(); });
    run_every(tick_interval, [this] { tick(); });
    run_every(claim_interval, [this] { guard.tick(clock.now()); });
    run_every(metrics_interval, [this] { update_metrics(); });
}

void control_state::tick()
{
    const auto now = clock.now();
    node.tick(now);
    decision_queries.tick(now);
    placement.tick(now);
}

bool control_state::on_message(const std::string& from, const wire::envelope& message)
{
    idempotency::message keyed;
    if (idempotency::from_wire(message, keyed)) {
        guard.receive(from, keyed, clock.now());
        return true;
    }
    if (placement.handle(from, message, clock.now())) {
        return true;
    }
    decision_queries.handle(from, message);
    return false;
}

void control_state::update_placement_members()
{
    auto live = node.members.live_members();
    if (node.is_draining()) {
        std::erase_if(live, [&](const auto& it) { return it.id == settings.instance_id; });
    }
    placement.update_members(live);
}

void control_state::on_members()
{
    update_placement_members();
    std::vector<advertised_address> usable;
    for (const auto& it : node.members.advertised_members()) {
        usable.push_back({it.id, it.caller_address, it.failure_domain});
    }
    const std::lock_guard lock{mutex};
    addresses = std::move(usable);
}

void control_state::poll_list()
{
    list.fetch([self = shared_from_this()](const instance_list_result& result) {
        if (!result.is_ok) {
            log_event("store", log_level::warning, "list-unreachable", {{"cause", result.message}});
            return;
        }
        self->node.apply_list(result.instances);
    });
}

void control_state::poll_engines()
{
    monitor.poll(node.owned_pools.owned_engines());
}

void control_state::on_manifest()
{
    const auto content = node.manifests.usable();
    placement.apply_manifest(content);
    auto snapshot = make_snapshot(content);
    const std::lock_guard lock{mutex};
    current = std::move(snapshot);
}

void control_state::update_metrics()
{
    fleet::report_metrics(metrics, node, store.counts());
    metrics.set("almondline_engine_reads_total", {}, static_cast<double>(monitor.calls()));
}

std::string control_state::report_status() const
{
    status_sources sources{node.members,
                           node.owned_pools,
                           node.credit_client,
                           store.counts(),
                           node.manifests.version(),
                           node.manifests.digest(),
                           {},
                           node.is_draining(),
                           node.manifests.is_watcher()};
    if (node.manifests.usable() != nullptr) {
        sources.manifest_name = node.manifests.usable()->name;
    }
    sources.placement = placement.describe();
    return make_status_report(sources);
}

} // namespace almondline::entry
