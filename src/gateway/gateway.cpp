#include "gateway/gateway.h"

#include "common/log.h"
#include "fleet/node_metrics.h"
#include "fleet/periodic.h"
#include "gateway/internal/durations.h"
#include "gateway/internal/node_settings.h"
#include "gateway/request_flow.h"

#include <algorithm>
#include <csignal>

namespace almondline::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick_interval{50};
constexpr milliseconds metrics_interval{1'000};
constexpr milliseconds prune_interval{1'000};
constexpr milliseconds stop_check_interval{50};
/// Interval of the reads of the member list until other instances are known. Doubles up to the
/// maximum.
constexpr milliseconds initial_poll_interval{200};
constexpr milliseconds max_initial_poll_interval{1'600};
/// Number of members up to which each one reads the member list at the configured interval.
constexpr double small_fleet_size = 8;
/// Instances that start together see each other in the list only after all have registered.
constexpr milliseconds new_member_period{3'000};
/// After a stop signal, new requests are expected for this multiple of the address lifetime,
/// because callers keep using the addresses they received.
constexpr double address_lifetime_factor = 1.2;

constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
constexpr std::uint64_t unannounced_body_bytes = 64 * 1024;
/// Shares of the memory that all request bodies, and all response bodies, may take.
/// A request body exists once: all attempts send it from the call, without copies.
constexpr double request_memory_share = 0.25;
constexpr double response_memory_share = 0.125;

std::size_t memory_share(const gateway_settings& settings, double share)
{
    return static_cast<std::size_t>(static_cast<double>(settings.memory_mb * bytes_per_mb) * share);
}

http_server_limits small_server_limits()
{
    http_server_limits out;
    out.max_connections = 256;
    out.max_body_bytes = 0;
    out.idle_timeout = milliseconds{5'000};
    return out;
}

} // namespace

gateway::gateway(asio::io_context& io, const clock_source& clock, const gateway_settings& settings,
                 const membership::member& self, gateway_dependencies dependencies)
    : io_{io}, clock_{clock}, settings_{settings}, dependencies_{std::move(dependencies)},
      servers_{dependencies_.servers,
               clock,
               make_server_list_settings(settings),
               {[this] { on_servers_changed(); }, [this] { return live_peers(); },
                [this] { return node_.owned_pools.other_owners(); },
                [this](const std::string& to, const wire::envelope& message) {
                    node_.transport.send(to, message);
                }}},
      connections_{clock, {}}, started_{clock.now()}, retries_{settings.retries, {}},
      node_{io,
            clock,
            dependencies_.store,
            make_node_settings(settings, self, dependencies_.manifests),
            {[this] { on_manifest_changed(); }, [] {},
             [this](const std::string& from, const wire::envelope& message) {
                 return servers_.handle(from, message, clock_.now());
             }}},
      registration_{make_registration(dependencies_.member_key, dependencies_.member_record),
                    dependencies_.store, clock},
      context_{clock,
               dependencies_.protocol,
               {},
               node_.credit_client,
               node_.decisions,
               servers_.servers(),
               connections_,
               retries_,
               metrics_,
               response_bytes_,
               memory_share(settings, response_memory_share),
               [this] { return routes_; },
               [this](const std::string& service, const scheduling::credit_request& request,
                      const std::vector<granting::pool_refusal>& refused_by) {
                   return node_.owned_pools.choose_pool(service, request, refused_by);
               },
               [this](const std::string& service, const granting::fingerprints& ids) {
                   return node_.owned_pools.quarantine_wait(service, ids);
               },
               [this](const std::string& backend_id, const server_notice& notice) {
                   on_notice(backend_id, notice);
               },
               [this] { return node_.possible_member_count(); },
               {settings.stop_limit, std::nullopt}},
      caller_server_{io, settings.listen, limits(),
                     [this](http_exchange& exchange) { return serve(exchange); }},
      health_{io, settings.health_listen, small_server_limits(),
              [this](http_exchange& exchange) -> asio::awaitable<void> {
                  auto response = dependencies_.answer_health(exchange.request(), is_ready());
                  co_await exchange.reply(std::move(response));
              }},
      directory_{io, settings.directory_listen, small_server_limits(),
                 [this](http_exchange& exchange) -> asio::awaitable<void> {
                     const auto addresses_for = [this](const std::string& failure_domain,
                                                       std::size_t limit) {
                         return choose_addresses(node_.members.advertised_members(), failure_domain,
                                                 limit);
                     };
                     auto response = dependencies_.answer_directory(
                         exchange.request(), addresses_for, settings_.address_lifetime);
                     co_await exchange.reply(std::move(response));
                 }},
      metrics_server_{io, settings.metrics_listen, small_server_limits(),
                      [this](http_exchange& exchange) { return serve_metrics(exchange); }},
      signals_{io, SIGTERM, SIGINT, SIGHUP}
{
}

http_server_limits gateway::limits() const
{
    http_server_limits out;
    out.max_connections = settings_.max_descriptors / 2;
    out.max_total_body_bytes = memory_share(settings_, request_memory_share);
    out.unannounced_body_bytes = unannounced_body_bytes;
    if (routes_) {
        const auto& configured = routes_->content->limits;
        out.max_header_bytes = configured.max_header_bytes;
        out.max_body_bytes = configured.max_body_bytes;
        out.header_timeout = configured.header_timeout;
        out.idle_timeout = configured.idle_timeout;
    }
    return out;
}

asio::awaitable<void> gateway::serve(http_exchange& exchange)
{
    co_await run_request(context_, exchange);
}

asio::awaitable<void> gateway::serve_metrics(http_exchange& exchange)
{
    update_metrics();
    http_response response;
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = metrics_.render();
    co_await exchange.reply(std::move(response));
}

bool gateway::is_ready() const
{
    // Requests would wait if the pools had no owner.
    return !is_stopping(context_.stop) && routes_ != nullptr && servers_.is_known() &&
           node_.owned_pools.has_owners();
}

void gateway::every(milliseconds interval, std::function<void()> action)
{
    fleet::run_periodically(io_, interval, [action = std::move(action)] {
        action();
        return true;
    });
}

void gateway::start()
{
    node_.check_members();
    wait_for_signal();
    every(tick_interval, [this] { tick(); });
    every(prune_interval, [this] { connections_.prune(); });
    every(metrics_interval, [this] { update_metrics(); });
    log_event("gateway", log_level::info, "started",
              {{"listen", settings_.listen.port},
               {"failure_domain", settings_.failure_domain},
               {"version", ALMONDLINE_VERSION}});
}

void gateway::tick()
{
    const auto now = clock_.now();
    node_.tick(now);
    servers_.tick(now);
    registration_.set_fleet_size(node_.member_count());
    registration_.tick(now);
    if (now >= next_member_poll_) {
        next_member_poll_ = now + member_interval();
        poll_members();
    }
    flush_log();
}

void gateway::on_servers_changed()
{
    node_.apply_servers(fleet::present_replicas(servers_.servers()));
}

void gateway::on_notice(const std::string& backend_id, const server_notice& notice)
{
    if (notice.is_leaving) {
        servers_.note_leaving(backend_id);
    }
    if (notice.backoff_for.count() > 0) {
        servers_.note_backoff(backend_id, clock_.now() + notice.backoff_for);
        metrics_.add("almondline_backend_quiet_total", {{"backend", backend_id}});
    }
}

std::vector<std::string> gateway::live_peers() const
{
    std::vector<std::string> out;
    for (const auto& it : node_.members.live_members()) {
        if (it.id != node_.members.self().id) {
            out.push_back(it.id);
        }
    }
    return out;
}

/// Returns the time until the next read of the member list. Membership probing discovers the other
/// instances once one is known, so the interval grows with the fleet and the load of all instances
/// on the store does not.
milliseconds gateway::member_interval()
{
    // A read without new members means that all instances that started together have registered.
    const bool is_new_member = clock_.now() - started_ < new_member_period && has_new_members_;
    if (is_new_member || !node_.has_live_peer()) {
        current_poll_interval_ = std::clamp(2 * current_poll_interval_, initial_poll_interval,
                                            max_initial_poll_interval);
        return current_poll_interval_;
    }
    current_poll_interval_ = milliseconds{0};
    const auto size_factor = static_cast<double>(node_.member_count()) / small_fleet_size;
    return scaled(settings_.member_poll, std::max(1.0, size_factor));
}

void gateway::poll_members()
{
    if (std::exchange(is_polling_members_, true)) {
        return;
    }
    dependencies_.members.fetch([this](const instance_list_result& result) {
        is_polling_members_ = false;
        if (result.is_ok) {
            has_new_members_ =
                result.instances.size() > std::exchange(listed_members_, result.instances.size());
            node_.members.apply_list(result.instances, clock_.now());
        }
    });
}

void gateway::on_manifest_changed()
{
    routes_ = make_route_table(node_.manifests.usable());
    caller_server_.set_limits(limits());
    // A request that leaves its service may change the set.
    const auto waiting = context_.waiting;
    for (auto* it : waiting) {
        note_manifest_change(*it);
    }
}

void gateway::wait_for_signal()
{
    signals_.async_wait([this](boost::system::error_code ec, int signal) {
        if (ec) {
            return;
        }
        if (signal == SIGHUP) {
            reread_settings();
        }
        else if (!is_stopping(context_.stop)) {
            begin_stop();
        }
        wait_for_signal();
    });
}

/// Applies the log level, the only setting that can change while the process runs.
void gateway::reread_settings()
{
    const auto next = dependencies_.read_settings();
    log_level level{};
    if (!next || !parse_log_level(next->log_level, level)) {
        log_event(
            "gateway", log_level::error, "settings-not-reread",
            {{"reason", "the settings file is not valid; the previous settings stay in effect"}});
        return;
    }
    set_log_level("*", level);
    log_event("gateway", log_level::info, "settings-reread", {{"log_level", next->log_level}});
}

void gateway::begin_stop()
{
    context_.stop.started = clock_.now();
    log_event("gateway", log_level::info, "stop-began",
              {{"in_progress", caller_server_.requests_in_progress()}});
    node_.start_drain();
    registration_.withdraw();
    for (auto* it : context_.in_progress) {
        note_instance_stop(*it);
    }
    every(stop_check_interval, [this] { check_stopped(); });
}

void gateway::check_stopped()
{
    const auto now = clock_.now();
    const auto elapsed = since(*context_.stop.started, now);
    if (now >= *answer_by(context_.stop)) {
        caller_server_.refuse_incomplete_requests();
    }
    const bool is_idle = caller_server_.requests_in_progress() == 0 &&
                         caller_server_.closing_connections() == 0 &&
                         elapsed > scaled(settings_.address_lifetime, address_lifetime_factor);
    // The messages that return the last credits are sent before the next check.
    const bool has_been_idle = std::exchange(was_idle_, is_idle) && is_idle;
    if (has_been_idle || must_exit(context_.stop, now)) {
        finish_stop();
    }
}

void gateway::finish_stop()
{
    log_event("gateway", log_level::info, "stopped",
              {{"interrupted", caller_server_.requests_in_progress()}});
    flush_log();
    io_.stop();
}

void gateway::update_metrics()
{
    fleet::report_metrics(metrics_, node_, dependencies_.store_calls());
    const auto set = [this](std::string_view name, double value) { metrics_.set(name, {}, value); };
    set("almondline_caller_connections", static_cast<double>(caller_server_.open_connections()));
    set("almondline_requests_in_progress",
        static_cast<double>(caller_server_.requests_in_progress()));
    set("almondline_backend_connections_idle", static_cast<double>(connections_.size()));
    set("almondline_backend_connections_reused_total", static_cast<double>(connections_.reused()));
    set("almondline_log_lines_dropped_total", static_cast<double>(dropped_log_lines()));
    set("almondline_quarantined_prompts",
        static_cast<double>(node_.owned_pools.quarantined_prompts()));
    set("almondline_pools_owned", static_cast<double>(node_.owned_pools.granters().size()));
}

} // namespace almondline::gateway
