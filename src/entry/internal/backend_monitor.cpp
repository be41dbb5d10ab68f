#include "entry/internal/backend_monitor.h"

#include "backend/reports.h"
#include "common/log.h"
#include "http/client.h"
#include "routing/routing.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace almondline::entry {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

struct backend_monitor::state : std::enable_shared_from_this<state> {
    asio::awaitable<void> read(listed_instance engine);
    asio::awaitable<void> read_load(const listed_instance& engine, const ip_endpoint& address);
    asio::awaitable<void> read_cache_events(const listed_instance& engine,
                                            const ip_endpoint& address);
    asio::awaitable<std::string> get(const ip_endpoint& address, std::string target);
    routing::replica_table* table_of(const listed_instance& engine) const;

    asio::any_io_executor executor;
    const clock_source* clock = nullptr;
    http_timeouts timeouts;
    table_lookup lookup;
    std::set<std::string> in_progress;
    std::uint64_t calls = 0;
    bool is_closed = false;
};

routing::replica_table* backend_monitor::state::table_of(const listed_instance& engine) const
{
    return is_closed ? nullptr : lookup(engine.service);
}

asio::awaitable<std::string> backend_monitor::state::get(const ip_endpoint& address,
                                                         std::string target)
{
    constexpr int ok = 200;
    constexpr std::size_t max_report_bytes = 1024 * 1024;
    http_request request;
    request.target = std::move(target);
    ++calls;
    auto result = co_await call_http(address, request, timeouts, max_report_bytes);
    const bool is_ok = result.progress == http_progress::complete && result.response.status == ok;
    co_return is_ok ? std::move(result.response.body) : std::string{};
}

asio::awaitable<void> backend_monitor::state::read_load(const listed_instance& engine,
                                                        const ip_endpoint& address)
{
    const auto body = co_await get(address, "/v1/load");
    auto* table = table_of(engine);
    if (body.empty() || table == nullptr) {
        co_return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(report, backend::parse_load_report(body));
            routing::on_load_report(*table, engine.id, report, clock->now());
            return {};
        },
        [&](const parse_error& e) {
            log_event("entry", log_level::warning, "bad-load-report",
                      {{"backend", engine.id}, {"cause", to_string(e)}});
        },
        [] {});
}

asio::awaitable<void> backend_monitor::state::read_cache_events(const listed_instance& engine,
                                                                const ip_endpoint& address)
{
    auto* table = table_of(engine);
    if (table == nullptr) {
        co_return;
    }
    const auto after = routing::last_cache_event(*table, engine.id);
    const auto body = co_await get(address, "/v1/cache/events?after=" + std::to_string(after));
    table = table_of(engine);
    if (body.empty() || table == nullptr) {
        co_return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(events, backend::parse_cache_events(body));
            routing::on_cache_events(*table, engine.id, events, clock->now());
            return {};
        },
        [&](const parse_error& e) {
            log_event("entry", log_level::warning, "bad-cache-events",
                      {{"backend", engine.id}, {"cause", to_string(e)}});
        },
        [] {});
}

asio::awaitable<void> backend_monitor::state::read(listed_instance engine)
{
    const auto self = shared_from_this();
    ip_endpoint address;
    if (parse_endpoint(engine.address, address)) {
        co_await read_load(engine, address);
        co_await read_cache_events(engine, address);
    }
    in_progress.erase(engine.id);
}

backend_monitor::backend_monitor(asio::any_io_executor executor, const clock_source& clock,
                                 std::chrono::milliseconds call_timeout, table_lookup lookup)
    : state_{std::make_shared<state>()}
{
    state_->executor = std::move(executor);
    state_->clock = &clock;
    state_->timeouts = {call_timeout, call_timeout, call_timeout};
    state_->lookup = std::move(lookup);
}

backend_monitor::~backend_monitor()
{
    state_->is_closed = true;
}

void backend_monitor::poll(const std::vector<listed_instance>& engines)
{
    for (const auto& it : engines) {
        if (!state_->in_progress.insert(it.id).second) {
            continue;
        }
        asio::co_spawn(state_->executor, state_->read(it), asio::detached);
    }
}

std::uint64_t backend_monitor::calls() const
{
    return state_->calls;
}

} // namespace almondline::entry
