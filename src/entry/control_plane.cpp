#include "entry/control_plane.h"

#include "common/hash.h"
#include "common/log.h"
#include "entry/internal/backend_monitor.h"
#include "entry/internal/peer_explain.h"
#include "entry/internal/pools.h"
#include "entry/internal/status_report.h"
#include "granting/message_router.h"
#include "manifest/fetch.h"
#include "manifest/manifest_state.h"
#include "membership/member_table.h"
#include "membership/wire_format.h"
#include "peer/peer_transport.h"
#include "peer/wire.h"
#include "store/http_instance_list.h"
#include "store/http_key_value_store.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>
#include <tuple>

namespace almondline::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick_interval{50};
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
    return out;
}

store_limits make_store_limits(const entry_settings& settings)
{
    store_limits limits;
    limits.timeouts.read = settings.store_timeout;
    return limits;
}

} // namespace

struct control_plane::state : std::enable_shared_from_this<state> {
    state(asio::io_context& context, const entry_settings& entry, const clock_source& source,
          metrics_registry& registry);

    void start();
    void every(milliseconds interval, std::function<void()> action);
    void tick();
    void poll_list();
    void poll_engines();
    void poll_manifest();
    void on_fetched(const fetch_result& result);
    void on_manifest();
    void on_message(const std::string& from, const wire::envelope& message);
    void send_all(const std::vector<membership::outgoing_message>& messages);
    void check_members();
    std::vector<membership::member> granter_candidates() const;
    void update_metrics();
    std::string report_status() const;

    asio::io_context& io;
    entry_settings settings;
    const clock_source& clock;
    metrics_registry& metrics;
    http_key_value_store store;
    http_instance_list list;
    membership::member_table members;
    peer::peer_transport transport;
    granting::message_router router;
    granting::decision_log decisions;
    pools owned;
    granting::asker asker;
    peer_explain explaining;
    backend_monitor monitor;
    manifest_state manifests;
    using member_key = std::tuple<std::string, std::int64_t, membership::member_status>;
    std::vector<member_key> known_members;
    bool is_draining = false;
    bool is_store_reachable = false;
    bool is_fetching = false;
    bool is_stopped = false;

    mutable std::mutex mutex; ///< for the two below, which other threads read
    std::shared_ptr<const manifest_snapshot> current;
    std::vector<advertised_address> addresses;
};

control_plane::state::state(asio::io_context& context, const entry_settings& entry,
                            const clock_source& source, metrics_registry& registry)
    : io{context}, settings{entry}, clock{source}, metrics{registry},
      store{context.get_executor(), entry.store_addresses, make_store_limits(entry), source},
      list{context.get_executor(), {entry.list_address}, make_store_limits(entry).timeouts},
      members{make_self(entry, source), {}, stable_hash(entry.instance_id), source.now()},
      transport{context, source, make_peer_settings(entry, members.self()),
                [this](const std::string& id) {
                    const auto* it = members.find(id);
                    return it == nullptr ? std::string{} : it->peer_address;
                },
                [this](const std::string& from, const wire::envelope& message) {
                    on_message(from, message);
                }},
      router{entry.instance_id, transport}, decisions{source},
      owned{entry.instance_id, source, router, decisions,
            [this](const std::string& id) {
                const auto* it = members.find(id);
                return it == nullptr ? std::string{} : it->failure_domain;
            }},
      asker{[&] {
                granting::asker_settings out;
                out.instance_id = entry.instance_id;
                return out;
            }(),
            source, router, [this](const std::string& pool) { return owned.owner_of(pool); },
            decisions},
      explaining{entry.instance_id, decisions, router}, monitor{
                                                            context.get_executor(), source,
                                                            entry.store_timeout,
                                                            [this](const std::string& service) {
                                                                auto* granter = owned.find(service);
                                                                return granter == nullptr
                                                                           ? nullptr
                                                                           : &granter->replicas();
                                                            }}
{
    router.set_local_handler([this](const std::string& from, const wire::envelope& message) {
        on_message(from, message);
    });
}

void control_plane::state::every(milliseconds interval, std::function<void()> action)
{
    const auto run = [](std::shared_ptr<state> self, milliseconds wait,
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

void control_plane::state::start()
{
    check_members();
    every(settings.list_poll, [this] { poll_list(); });
    every(settings.list_poll, [this] { poll_manifest(); });
    every(settings.load_poll, [this] { poll_engines(); });
    every(tick_interval, [this] { tick(); });
    every(metrics_interval, [this] { update_metrics(); });
}

void control_plane::state::tick()
{
    const auto now = clock.now();
    send_all(members.tick(now));
    check_members();
    owned.tick(now);
    asker.tick(now);
    explaining.tick(now);
}

void control_plane::state::send_all(const std::vector<membership::outgoing_message>& messages)
{
    for (const auto& it : messages) {
        wire::envelope envelope;
        membership::to_wire(it.message, envelope);
        transport.send(it.to, envelope);
    }
}

void control_plane::state::on_message(const std::string& from, const wire::envelope& message)
{
    membership::probe_message probe;
    if (membership::from_wire(message, probe)) {
        send_all(members.receive(from, probe, clock.now()));
        return;
    }
    owned.handle(from, message);
    asker.handle(from, message);
    explaining.handle(from, message);
}

std::vector<membership::member> control_plane::state::granter_candidates() const
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

void control_plane::state::check_members()
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

void control_plane::state::poll_list()
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

void control_plane::state::poll_engines()
{
    monitor.poll(owned.owned_engines());
}

void control_plane::state::poll_manifest()
{
    if (is_fetching) {
        return;
    }
    is_fetching = true;
    fetch_manifest(store, [self = shared_from_this()](const fetch_result& result) {
        self->is_fetching = false;
        self->on_fetched(result);
    });
}

void control_plane::state::on_fetched(const fetch_result& result)
{
    is_store_reachable = result.status != fetch_status::failed;
    if (result.status != fetch_status::found ||
        result.pointer.current.version <= manifests.version()) {
        return;
    }
    const auto applied = manifests.apply(result.pointer.current.version,
                                         result.pointer.current.digest, result.text, "store");
    if (applied.is_applied) {
        on_manifest();
    }
}

void control_plane::state::on_manifest()
{
    const auto content = manifests.snapshot();
    members.set_manifest_version(content->version);
    owned.apply_manifest(content);
    asker.check_owners();
    auto made = make_snapshot(content);
    const std::lock_guard lock{mutex};
    current = std::move(made);
}

void control_plane::state::update_metrics()
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

std::string control_plane::state::report_status() const
{
    status_sources sources{members,
                           owned,
                           asker,
                           store.counts(),
                           manifests.version(),
                           manifests.digest(),
                           {},
                           is_draining,
                           is_store_reachable};
    if (manifests.snapshot() != nullptr) {
        sources.manifest_name = manifests.snapshot()->name;
    }
    return make_status_report(sources);
}

control_plane::control_plane(asio::io_context& io, const entry_settings& settings,
                             const clock_source& clock, metrics_registry& metrics)
    : state_{std::make_shared<state>(io, settings, clock, metrics)}
{
}

control_plane::~control_plane()
{
    state_->is_stopped = true;
}

void control_plane::start()
{
    asio::post(state_->io, [state = state_] { state->start(); });
}

void control_plane::begin_drain()
{
    asio::post(state_->io, [state = state_] {
        state->is_draining = true;
        state->members.set_leaving(state->clock.now());
        state->check_members();
    });
}

void control_plane::request(const std::string& pool, scheduling::ask what,
                            granting::credit_handler handler)
{
    asio::post(state_->io, [state = state_, pool, what = std::move(what),
                            handler = std::move(handler)]() mutable {
        const auto id = what.request_id;
        state->asker.request_credit(
            pool, std::move(what), [state, id, handler](const granting::credit_result& result) {
                if (!result.granted || state->asker.confirm(id)) {
                    handler(result);
                    return;
                }
                granting::release_report expired;
                expired.outcome = granting::release_outcome::not_dispatched;
                state->asker.release(id, expired);
                granting::credit_result refused;
                refused.why = {verdict::not_run, "credit-expired",
                               "the dispatch credit expired on its way", milliseconds{200}};
                handler(refused);
            });
    });
}

void control_plane::release(const granting::credit& given, const granting::release_report& report)
{
    asio::post(state_->io, [state = state_, id = given.request_id, report] {
        state->asker.release(id, report);
    });
}

void control_plane::cancel(const std::string& pool, const std::string& request_id)
{
    asio::post(state_->io, [state = state_, pool, request_id] { state->asker.cancel(request_id); });
}

std::shared_ptr<const manifest_snapshot> control_plane::snapshot() const
{
    const std::lock_guard lock{state_->mutex};
    return state_->current;
}

void control_plane::record(const std::string& request_id, const std::string& line)
{
    asio::post(state_->io,
               [state = state_, request_id, line] { state->decisions.keep(request_id, line); });
}

std::vector<advertised_address> control_plane::addresses() const
{
    const std::lock_guard lock{state_->mutex};
    return state_->addresses;
}

void control_plane::status(deliver done)
{
    asio::post(state_->io,
               [state = state_, done = std::move(done)] { done(state->report_status()); });
}

void control_plane::explain(std::string request_id, deliver done)
{
    asio::post(state_->io, [state = state_, request_id = std::move(request_id),
                            done = std::move(done)]() mutable {
        std::vector<std::string> peers;
        for (const auto& it : state->members.all_members()) {
            if (it.status == membership::member_status::alive && it.incarnation != 0) {
                peers.push_back(it.id);
            }
        }
        state->explaining.start(request_id, peers, state->clock.now(), std::move(done));
    });
}

} // namespace almondline::entry
