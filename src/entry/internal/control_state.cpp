#include "entry/internal/control_state.h"

#include "common/hash.h"
#include "common/log.h"
#include "entry/internal/status_report.h"
#include "idempotency/wire_format.h"
#include "membership/wire_format.h"
#include "peer/wire.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace almondline::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick_interval{50};
constexpr milliseconds claim_interval{10}; ///< claims share writes each 20 ms
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

granting::asker_settings make_asker_settings(const entry_settings& settings)
{
    granting::asker_settings out;
    out.instance_id = settings.instance_id;
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
      members{make_self(entry, source), {}, stable_hash(entry.instance_id), source.now()},
      transport{context, source, make_peer_settings(entry, members.self()),
                [this](const std::string& id) { return peer_address_of(id); },
                [this](const std::string& from, const wire::envelope& message) {
                    on_message(from, message);
                }},
      router{entry.instance_id, transport}, decisions{source},
      owned{entry.instance_id, source, router, decisions,
            [this](const std::string& id) { return failure_domain_of(id); }},
      asker{make_asker_settings(entry), source, router,
            [this](const std::string& pool) { return owned.owner_of(pool); }, decisions},
      explaining{entry.instance_id, decisions, router}, monitor{context.get_executor(), source,
                                                                entry.store_timeout,
                                                                [this](const std::string& service) {
                                                                    return replicas_of(service);
                                                                }},
      manifests{members, router, store, source, [this] { on_manifest(); }},
      guard{make_guard_config(members.self()), guard_callbacks(), store, source},
      placement{entry, source, context.get_executor(), store, router, owned}
{
    router.set_local_handler([this](const std::string& from, const wire::envelope& message) {
        on_message(from, message);
    });
}

std::string control_state::peer_address_of(const std::string& id) const
{
    const auto* it = members.find(id);
    return it == nullptr ? std::string{} : it->peer_address;
}

std::string control_state::failure_domain_of(const std::string& id) const
{
    const auto* it = members.find(id);
    return it == nullptr ? std::string{} : it->failure_domain;
}

routing::replica_table* control_state::replicas_of(const std::string& service)
{
    auto* granter = owned.find(service);
    return granter == nullptr ? nullptr : &granter->replicas();
}

idempotency::guard_callbacks control_state::guard_callbacks()
{
    idempotency::guard_callbacks out;
    out.peers.send = [this](const std::string& to, const idempotency::message& content) {
        wire::envelope envelope;
        idempotency::to_wire(content, envelope);
        router.send(to, envelope);
    };
    out.peers.live_members = [this] {
        std::vector<std::string> ids;
        for (const auto& it : members.live_members()) {
            ids.push_back(it.id);
        }
        return ids;
    };
    out.holder = [this](const std::string& id, std::int64_t incarnation) {
        idempotency::holder_info info;
        info.is_gone = members.state_of(id, incarnation) == membership::incarnation_state::gone;
        const auto* it = members.find(id);
        info.caller_address = it == nullptr ? std::string{} : it->caller_address;
        return info;
    };
    return out;
}

void control_state::every(milliseconds interval, std::function<void()> action)
{
    const auto run = [](std::shared_ptr<control_state> self, milliseconds wait,
                        std::function<void()> act) -> asio::awaitable<void> {
        asio::steady_timer timer{self->io};
        while (!self->is_stopped) {
            act();
            timer.expires_after(wait);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    };
    asio::co_spawn(io, run(shared_from_this(), interval, std::move(action)), asio::detached);
}

void control_state::start()
{
    check_members();
    every(settings.list_poll, [this] { poll_list(); });
    every(settings.load_poll, [this] { poll_engines(); });
    every(tick_interval, [this] { tick(); });
    every(claim_interval, [this] { guard.tick(clock.now()); });
    every(metrics_interval, [this] { update_metrics(); });
}

void control_state::tick()
{
    const auto now = clock.now();
    send_all(members.tick(now));
    check_members();
    manifests.tick(now);
    owned.tick(now);
    asker.tick(now);
    explaining.tick(now);
    placement.tick(now);
}

void control_state::send_all(const std::vector<membership::outgoing_message>& messages)
{
    for (const auto& it : messages) {
        wire::envelope envelope;
        membership::to_wire(it.message, envelope);
        transport.send(it.to, envelope);
    }
}

void control_state::on_message(const std::string& from, const wire::envelope& message)
{
    membership::probe_message probe;
    if (membership::from_wire(message, probe)) {
        const auto now = clock.now();
        send_all(members.receive(from, probe, now));
        if (!probe.updates.empty()) {
            manifests.on_peer(probe.updates.front(), now);
        }
        return;
    }
    idempotency::message keyed;
    if (idempotency::from_wire(message, keyed)) {
        guard.receive(from, keyed, clock.now());
        return;
    }
    if (manifests.handle(from, message, clock.now())) {
        return;
    }
    if (placement.handle(from, message, clock.now())) {
        return;
    }
    owned.handle(from, message);
    asker.handle(from, message);
    explaining.handle(from, message);
}

std::vector<membership::member> control_state::granter_candidates() const
{
    std::vector<membership::member> out;
    for (const auto& it : members.all_members()) {
        const bool is_usable = it.status == membership::member_status::alive ||
                               it.status == membership::member_status::suspect;
        if (is_usable && it.incarnation != 0) {
            out.push_back(it);
        }
    }
    if (!is_draining) {
        out.push_back(members.self());
    }
    return out;
}

void control_state::update_placement_members()
{
    auto live = members.live_members();
    if (is_draining) {
        std::erase_if(live, [&](const auto& it) { return it.id == settings.instance_id; });
    }
    placement.update_members(live);
}

void control_state::check_members()
{
    std::vector<member_key> keys;
    for (const auto& it : members.all_members()) {
        keys.emplace_back(it.id, it.incarnation, it.status);
        if (it.status == membership::member_status::dead) {
            owned.forget_holder(it.id);
        }
    }
    keys.emplace_back(members.self().id, members.self().incarnation, members.self().status);
    std::sort(keys.begin(), keys.end());
    if (keys == known_members) {
        return;
    }
    known_members = std::move(keys);
    owned.update_ownership(granter_candidates());
    asker.check_owners();
    update_placement_members();
    std::vector<advertised_address> usable;
    for (const auto& it : members.callers_addresses()) {
        if (!it.caller_address.empty()) {
            usable.push_back({it.id, it.caller_address, it.failure_domain});
        }
    }
    log_event("membership", log_level::info, "members-changed",
              {{"members", known_members.size()}, {"callers_addresses", usable.size()}});
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
        self->members.apply_list(result.instances, self->clock.now());
        self->owned.apply_list(result.instances);
    });
}

void control_state::poll_engines()
{
    monitor.poll(owned.owned_engines());
}

void control_state::on_manifest()
{
    const auto content = manifests.usable();
    if (content == nullptr) {
        return;
    }
    owned.apply_manifest(content);
    placement.apply_manifest(content);
    asker.check_owners();
    auto made = make_snapshot(content);
    const std::lock_guard lock{mutex};
    current = std::move(made);
}

void control_state::update_metrics()
{
    metrics.set("almondline_manifest_version", {}, static_cast<double>(manifests.version()));
    metrics.set("almondline_members", {}, static_cast<double>(known_members.size()));
    metrics.set("almondline_suspicions_total", {}, static_cast<double>(members.suspicions()));
    metrics.set("almondline_deaths_total", {}, static_cast<double>(members.deaths()));
    const auto& calls = store.counts();
    const auto set_calls = [&](std::string_view kind, std::uint64_t n) {
        metrics.set("almondline_store_calls_total", {{"kind", kind}}, static_cast<double>(n));
    };
    set_calls("get", calls.gets);
    set_calls("watch", calls.watches);
    set_calls("put", calls.puts);
    set_calls("lease", calls.lease_calls);
    set_calls("failed", calls.failed);
    set_calls("held-back", calls.held_back);
    set_calls("lost-answer", calls.lost_answers);
    const auto& traffic = transport.counters();
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    for (std::size_t i = 0; i < traffic.sent.size(); ++i) {
        sent += traffic.sent[i].bytes;
        received += traffic.received[i].bytes;
    }
    metrics.set("almondline_control_bytes_total", {{"direction", "sent"}},
                static_cast<double>(sent));
    metrics.set("almondline_control_bytes_total", {{"direction", "received"}},
                static_cast<double>(received));
    metrics.set("almondline_engine_reads_total", {}, static_cast<double>(monitor.calls()));
}

std::string control_state::report_status() const
{
    status_sources sources{members,
                           owned,
                           asker,
                           store.counts(),
                           manifests.version(),
                           manifests.digest(),
                           {},
                           is_draining,
                           manifests.is_watcher()};
    if (manifests.usable() != nullptr) {
        sources.manifest_name = manifests.usable()->name;
    }
    sources.placement = placement.describe();
    return make_status_report(sources);
}

} // namespace almondline::entry
