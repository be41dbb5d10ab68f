#include "standins/internal/standin_server.h"

#include "common/log.h"
#include "standins/internal/error_response.h"
#include "standins/internal/faulty_exchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/system/system_error.hpp>
#include <stdexcept>

namespace almondline::standins {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds reopen_retry_delay{20};

bool is_control_path(std::string_view path)
{
    constexpr std::string_view prefix = "/standin/";
    return path.substr(0, prefix.size()) == prefix;
}

/// Parses a fault order. Returns the error message, empty on success.
std::string read_order(const std::string& body, fault_order& order)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_ASSIGN(order, parse_fault_order(body));
            return std::string{};
        },
        [](const parse_error& e) { return e.where + ": " + e.message; },
        [] { return std::string{"the order could not be read"}; });
}

} // namespace

standin_server::standin_server(asio::io_context& io, const ip_endpoint& address,
                               const clock_source& clock, http_handler handler)
    : io_{io}, address_{address}, clock_{clock}, handler_{std::move(handler)}, reopen_timer_{io}
{
    listen();
    port_ = server_->port();
    address_.port = port_;
}

void standin_server::listen()
{
    const http_server_limits limits;
    server_ = std::make_unique<http_server>(
        io_, address_, limits,
        [this](http_exchange& exchange) -> asio::awaitable<void> { return handle(exchange); });
}

void standin_server::stop()
{
    reopen_timer_.cancel();
    if (server_) {
        server_->stop_accepting();
    }
}

void standin_server::open_journal(const std::string& path)
{
    if (path.empty()) {
        return;
    }
    journal_.file.open(path, std::ios::app);
    if (!journal_.file) {
        throw std::runtime_error{"the journal file " + path + " can't be opened"};
    }
}

void standin_server::close_listener(std::chrono::milliseconds duration)
{
    if (server_) {
        server_->stop_accepting();
        closed_servers_.push_back(std::move(server_));
    }
    reopen_timer_.expires_after(duration);
    reopen_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            listen_again();
        }
    });
}

void standin_server::listen_again()
{
    try {
        listen();
    }
    catch (const boost::system::system_error& e) {
        // The previous listener may not be closed yet.
        log_event("standin", log_level::warning, "listen-failed", {{"cause", e.what()}});
        close_listener(reopen_retry_delay);
    }
}

asio::awaitable<void> standin_server::handle_faults(http_exchange& exchange)
{
    if (exchange.request().method == "DELETE") {
        active_faults_.entries.clear();
        co_await exchange.reply(json_response(200, "{}"));
        co_return;
    }
    fault_order order;
    const std::string message = read_order(exchange.request().body, order);
    if (!message.empty()) {
        co_await exchange.reply(error_response(400, message));
        co_return;
    }
    log_event("standin", log_level::info, "fault", {{"kind", to_text(order.kind)}});
    if (order.kind == fault_kind::silence) {
        active_faults_.silenced_below = next_exchange_number_;
    }
    else if (order.kind != fault_kind::refuse_connections) {
        add_fault(active_faults_, order, clock_.now());
    }
    co_await exchange.reply(json_response(200, "{}"));
    if (order.kind == fault_kind::refuse_connections) {
        close_listener(order.duration);
    }
}

/// Applies the faults that precede the handling of a request. Returns false if the request was
/// answered or its connection closed.
asio::awaitable<bool> standin_server::apply_early_faults(http_exchange& exchange)
{
    const std::string method = exchange.request().method;
    const std::string path{target_path(exchange.request().target)};
    if (const auto delay_order =
            consume_fault(active_faults_, fault_kind::delay, method, path, clock_.now())) {
        asio::steady_timer timer{io_, delay_order->delay};
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (consume_fault(active_faults_, fault_kind::reset_before, method, path, clock_.now())) {
        exchange.abort();
        co_return false;
    }
    if (consume_fault(active_faults_, fault_kind::outage, method, path, clock_.now())) {
        co_await exchange.reply(error_response(503, "outage"));
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> standin_server::handle(http_exchange& exchange)
{
    const auto path = target_path(exchange.request().target);
    if (path == "/standin/faults") {
        co_await handle_faults(exchange);
        co_return;
    }
    if (path == "/standin/journal") {
        co_await exchange.reply(json_response(200, to_json(journal_)));
        co_return;
    }
    if (is_control_path(path)) {
        co_await handler_(exchange);
        co_return;
    }
    faulty_exchange faulty{exchange, active_faults_, clock_, next_exchange_number_++};
    const bool can_continue = co_await apply_early_faults(faulty);
    if (can_continue) {
        co_await handler_(faulty);
    }
}

} // namespace almondline::standins
