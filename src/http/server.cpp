#include "http/server.h"

#include "common/log.h"
#include "http/internal/body_budget.h"
#include "http/internal/message_framing.h"
#include "http/internal/open_connection.h"
#include "http/internal/received_request.h"
#include "http/internal/server_exchange.h"
#include "http/internal/server_responses.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <mutex>
#include <set>
#include <tuple>
#include <utility>

namespace almondline {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

using http_internal::from_beast;
using http_internal::http_stream;
using http_internal::is_connection_end;
using http_internal::open_connection;
using http_internal::server_exchange;
using http_internal::status_of_read_error;
using http_internal::string_parser;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds accept_retry_delay{50};
constexpr std::size_t first_read_bytes = 4096;

/// Counts a connection or a request until the end of a scope, also by an exception.
class scoped_count {
public:
    explicit scoped_count(std::atomic<std::size_t>& count) : count_{count} { ++count_; }
    ~scoped_count() { --count_; }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;

private:
    std::atomic<std::size_t>& count_;
};

} // namespace

struct http_server::state {
    state(asio::io_context& context, http_server_limits server_limits, http_handler request_handler,
          std::shared_ptr<tls_credentials> credentials)
        : io{context}, acceptor{asio::make_strand(context)},
          shared_limits{std::make_shared<const http_server_limits>(server_limits)},
          handler{std::move(request_handler)}, tls{std::move(credentials)}
    {
    }

    std::shared_ptr<const http_server_limits> limits() const
    {
        return std::atomic_load(&shared_limits);
    }

    // The coroutines take the owning pointer as a parameter: a member function's frame holds only
    // `this`, and a spawned coroutine starts after the server may have been destroyed.
    asio::awaitable<void> accept_loop(std::shared_ptr<state> self);
    asio::awaitable<void> serve(std::shared_ptr<state> self, tcp::socket socket);
    asio::awaitable<bool> perform_handshake(http_stream& stream);
    asio::awaitable<bool> wait_for_request(open_connection& connection, beast::flat_buffer& buf);
    asio::awaitable<bool> serve_one(open_connection& connection, beast::flat_buffer& buf);
    /// Reads a body in parts. Returns no_memory, and frees the body, if the budget does not cover
    /// it.
    asio::awaitable<boost::system::error_code>
    read_body(open_connection& connection, beast::flat_buffer& buf, string_parser& parser,
              body_reservation& reserved, const http_server_limits& limits);
    /// Calls the action for each open connection, on the connection's strand. A connection whose
    /// flags are not set may have ended.
    void for_each_open(const std::function<void(open_connection&)>& action);
    /// Lets idle connections wait for a longer time.
    void extend_idle_limits(std::chrono::milliseconds limit);
    void refuse_incomplete_requests();
    /// Reads until the caller closes the connection. Closing it with unread input would reset it,
    /// and the caller would lose a response that it has not read yet.
    asio::awaitable<void> drop_input(beast::tcp_stream& stream);
    /// Logs why the server closes a connection, so that a request that is lost behind it can be
    /// told from one that crossed the close of an idle connection.
    void log_close(const open_connection& connection) const;
    /// Returns false if the handler failed.
    asio::awaitable<bool> handle(server_exchange& current);

    class open_entry;

    asio::io_context& io;
    tcp::acceptor acceptor;
    std::shared_ptr<const http_server_limits> shared_limits; ///< use limits() and atomic_store
    http_handler handler;
    std::shared_ptr<tls_credentials> tls; ///< null: plain HTTP
    std::atomic<bool> is_stopping{false};
    std::atomic<std::size_t> connections{0};
    std::mutex open_mutex; ///< of open
    std::set<std::shared_ptr<open_connection>> open;
    std::atomic<std::size_t> requests{0};
    std::atomic<std::size_t> closing{0};
    std::atomic<std::uint64_t> body_bytes{0}; ///< reserved for requests in progress
};

/// Lists a connection among the open ones until the end of a scope.
class http_server::state::open_entry {
public:
    open_entry(state& parent, std::shared_ptr<open_connection> connection)
        : parent_{parent}, connection_{std::move(connection)}
    {
        const std::lock_guard lock{parent_.open_mutex};
        parent_.open.insert(connection_);
    }
    ~open_entry()
    {
        const std::lock_guard lock{parent_.open_mutex};
        parent_.open.erase(connection_);
    }
    open_entry(const open_entry&) = delete;
    open_entry& operator=(const open_entry&) = delete;

private:
    state& parent_;
    std::shared_ptr<open_connection> connection_;
};

asio::awaitable<void> http_server::state::accept_loop(std::shared_ptr<state> self)
{
    while (!is_stopping) {
        auto [ec, socket] = co_await acceptor.async_accept(asio::make_strand(io), use_tuple);
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            // For example out of file descriptors: accepting again at once would busy-loop.
            asio::steady_timer timer{acceptor.get_executor(), accept_retry_delay};
            co_await timer.async_wait(use_tuple);
            continue;
        }
        if (connections >= limits()->max_connections) {
            socket.close(ec);
            continue;
        }
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, serve(self, std::move(socket)), asio::detached);
    }
}

asio::awaitable<bool> http_server::state::perform_handshake(http_stream& stream)
{
    if (!tls) {
        co_return true;
    }
    stream.lower().expires_after(limits()->handshake_timeout);
    const tls_internal::server_identity none;
    const auto error = co_await stream.handshake(asio::ssl::stream_base::server, tls, none);
    if (!error.empty()) {
        log_event("http", log_level::debug, "handshake-failed", {{"reason", error}});
        stream.lower().close();
    }
    co_return error.empty();
}

/// Waits for the first bytes of a request. Returns false if none arrive in time. The longest idle
/// limit in force during the wait applies, because the caller may rely on it.
asio::awaitable<bool> http_server::state::wait_for_request(open_connection& connection,
                                                           beast::flat_buffer& buf)
{
    if (buf.size() > 0) {
        co_return true;
    }
    auto& stream = *connection.stream;
    const auto began = asio::steady_timer::clock_type::now();
    connection.idle_limit = limits()->idle_timeout;
    while (true) {
        stream.lower().expires_at(began + connection.idle_limit);
        connection.is_idle = true;
        const auto [ec, n] =
            co_await stream.async_read_some(buf.prepare(first_read_bytes), use_tuple);
        connection.is_idle = false;
        buf.commit(n);
        const bool is_extended = std::exchange(connection.is_extended, false);
        if (ec == beast::error::timeout) {
            connection.close_reason = "idle-limit";
        }
        if (!ec || !is_extended) {
            co_return !ec;
        }
    }
}

void http_server::state::for_each_open(const std::function<void(open_connection&)>& action)
{
    const std::lock_guard lock{open_mutex};
    for (const auto& it : open) {
        asio::post(it->stream->get_executor(), [it, action] { action(*it); });
    }
}

void http_server::state::extend_idle_limits(std::chrono::milliseconds limit)
{
    for_each_open([limit](open_connection& it) {
        if (it.is_idle && limit > it.idle_limit) {
            it.idle_limit = limit;
            it.is_extended = true;
            it.stream->lower().cancel();
        }
    });
}

void http_server::state::refuse_incomplete_requests()
{
    for_each_open([](open_connection& it) {
        if (it.is_reading_body) {
            it.is_refused = true;
            it.stream->lower().cancel();
        }
    });
}

asio::awaitable<boost::system::error_code>
http_server::state::read_body(open_connection& connection, beast::flat_buffer& buf,
                              string_parser& parser, body_reservation& reserved,
                              const http_server_limits& limits)
{
    auto& body = parser.get().body();
    boost::system::error_code ec;
    std::size_t n = 0;
    connection.stream->lower().expires_after(limits.read_timeout);
    connection.is_reading_body = true;
    while (!ec && !parser.is_done()) {
        // Bodies with a length are reserved as a whole before.
        if (parser.chunked() &&
            !http_internal::reserve_next_part(body, buf.size(), reserved, limits)) {
            std::string{}.swap(body);
            reserved.resize(0);
            ec = asio::error::no_memory;
        }
        else if (connection.is_refused) {
            ec = asio::error::operation_aborted;
        }
        else {
            std::tie(ec, n) =
                co_await http::async_read_some(*connection.stream, buf, parser, use_tuple);
        }
    }
    connection.is_reading_body = false;
    co_return ec;
}

asio::awaitable<bool> http_server::state::serve_one(open_connection& connection,
                                                    beast::flat_buffer& buf)
{
    auto& stream = *connection.stream;
    connection.close_reason = {};
    const bool has_request = co_await wait_for_request(connection, buf);
    if (!has_request) {
        co_return false;
    }
    // Not before the wait, during which they may change.
    const auto current_limits = this->limits();
    const auto& limits = *current_limits;
    string_parser parser;
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    stream.lower().expires_after(limits.header_timeout);
    auto [ec, n] = co_await http::async_read_header(stream, buf, parser, use_tuple);
    if (!ec) {
        ec = http_internal::check_framing(parser.get().base());
    }
    // A request is in progress while its body arrives.
    const scoped_count counted{requests};
    body_reservation reserved{body_bytes, limits.max_total_body_bytes,
                              ec ? 0 : http_internal::expected_body(parser, limits)};
    if (!ec && !reserved.is_granted()) {
        reserved.resize(0); // the body is not read
        ec = asio::error::no_memory;
    }
    else if (!ec) {
        ec = co_await read_body(connection, buf, parser, reserved, limits);
    }
    if (ec == asio::error::no_memory) {
        server_exchange refused{stream, buf, {}, false, limits};
        co_await refused.reply(http_internal::body_budget_exceeded_response());
        connection.close_reason = "body-budget";
        co_return false;
    }
    if (ec && connection.is_refused) {
        server_exchange refused{stream, buf, {}, false, limits};
        co_await refused.reply(http_internal::stopping_response());
        connection.close_reason = "stopping";
        co_return false;
    }
    if (ec && is_connection_end(ec)) {
        co_return false;
    }
    if (ec) {
        log_event("http", log_level::info, "request-unreadable", {{"reason", ec.message()}});
        server_exchange broken{stream, buf, {}, false, limits};
        const std::string body = R"({"error":{"code":"bad-request","message":")" + ec.message() +
                                 R"(","verdict":"not-run"}})";
        auto response = json_response(status_of_read_error(ec), body);
        response.headers.push_back({"X-Verdict", "not-run"});
        co_await broken.reply(std::move(response));
        connection.close_reason = "request-unreadable";
        co_return false;
    }
    const bool keep_alive = parser.get().keep_alive();
    server_exchange current{stream, buf, from_beast(parser.release()), keep_alive, limits};
    if (is_stopping) {
        current.close_after_response();
    }
    const bool is_handled = co_await handle(current);
    if (!is_handled && !current.is_answered()) {
        current.close_after_response();
        co_await current.reply(http_internal::internal_error_response());
    }
    else if (!is_handled || !current.is_answered()) {
        current.abort();
    }
    ++connection.requests;
    connection.close_reason = current.is_complete() ? "announced" : "aborted";
    co_return current.can_continue();
}

void http_server::state::log_close(const open_connection& connection) const
{
    if (connection.close_reason.empty()) {
        return;
    }
    const bool is_expected = connection.close_reason == "announced";
    log_event("http", is_expected ? log_level::debug : log_level::info, "connection-closed",
              {{"remote", connection.remote},
               {"reason", connection.close_reason},
               {"requests", connection.requests}});
}

asio::awaitable<bool> http_server::state::handle(server_exchange& current)
{
    try {
        co_await handler(current);
        co_return true;
    }
    catch (const std::exception& e) {
        log_event("http", log_level::error, "handler-failed", {{"reason", e.what()}});
        co_return false;
    }
}

asio::awaitable<void> http_server::state::serve(std::shared_ptr<state> /*self*/, tcp::socket socket)
{
    const scoped_count counted{connections};
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay{true}, ec);
    const auto remote = socket.remote_endpoint(ec);
    // wait_closed() peeks after a readiness event. The event may be stale, for data that has been
    // read since; on a blocking socket the peek would then block the thread until the caller closes
    // the connection.
    socket.non_blocking(true, ec);
    http_stream stream{beast::tcp_stream{std::move(socket)}};
    beast::flat_buffer buf;
    bool can_continue = co_await perform_handshake(stream);
    const auto connection = std::make_shared<open_connection>();
    connection->stream = &stream;
    connection->remote = remote.address().to_string() + ":" + std::to_string(remote.port());
    const open_entry entry{*this, connection};
    while (can_continue) {
        can_continue = co_await serve_one(*connection, buf);
    }
    log_close(*connection);
    if (stream.lower().socket().is_open()) {
        stream.lower().expires_after(limits()->write_timeout);
        co_await stream.shutdown_tls();
    }
    stream.lower().socket().shutdown(tcp::socket::shutdown_send, ec);
    const scoped_count counted_end{closing};
    co_await drop_input(stream.lower());
}

asio::awaitable<void> http_server::state::drop_input(beast::tcp_stream& stream)
{
    if (!stream.socket().is_open()) {
        co_return;
    }
    std::array<char, first_read_bytes> buf{};
    boost::system::error_code ec;
    std::size_t n = 0;
    stream.expires_after(limits()->linger_timeout);
    while (!ec) {
        std::tie(ec, n) = co_await stream.async_read_some(asio::buffer(buf), use_tuple);
    }
}

http_server::http_server(asio::io_context& io, const ip_endpoint& address,
                         http_server_limits limits, http_handler handler,
                         std::shared_ptr<tls_credentials> tls)
    : state_{std::make_shared<state>(io, limits, std::move(handler), std::move(tls))}
{
    const tcp::endpoint endpoint{asio::ip::make_address(address.host), address.port};
    state_->acceptor.open(endpoint.protocol());
    state_->acceptor.set_option(tcp::acceptor::reuse_address{true});
    state_->acceptor.bind(endpoint);
    state_->acceptor.listen();
    asio::co_spawn(state_->acceptor.get_executor(), state_->accept_loop(state_), asio::detached);
}

http_server::~http_server()
{
    stop_accepting();
}

std::uint16_t http_server::port() const
{
    return state_->acceptor.local_endpoint().port();
}

void http_server::set_limits(const http_server_limits& limits)
{
    const bool is_longer = limits.idle_timeout > state_->limits()->idle_timeout;
    std::atomic_store(&state_->shared_limits, std::make_shared<const http_server_limits>(limits));
    if (is_longer) {
        state_->extend_idle_limits(limits.idle_timeout);
    }
}

void http_server::stop_accepting()
{
    state_->is_stopping = true;
    asio::post(state_->acceptor.get_executor(), [state = state_] {
        boost::system::error_code ec;
        state->acceptor.close(ec);
    });
}

std::size_t http_server::requests_in_progress() const
{
    return state_->requests;
}

std::size_t http_server::closing_connections() const
{
    return state_->closing;
}

void http_server::refuse_incomplete_requests()
{
    state_->refuse_incomplete_requests();
}

std::size_t http_server::open_connections() const
{
    return state_->connections;
}

} // namespace almondline
