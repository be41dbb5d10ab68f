#include "http/client.h"

#include "http/internal/message_framing.h"
#include "http/internal/response_header.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>
#include <optional>

namespace almondline {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_buffer_size = 16 * 1024;
constexpr std::uint32_t max_header_size = 16 * 1024;
/// Limits the bytes that can't be parsed yet, such as a chunk header that never ends.
constexpr std::size_t max_buffered = 64 * 1024;
constexpr int max_unanswered_probes = 2;
/// Interim responses that are skipped before the connection counts as failed.
constexpr int max_interim_responses = 4;
constexpr int first_status = 100;
constexpr int first_final_status = 200;
constexpr int last_status = 599;

using span_request = http::request<http::span_body<const char>>;

span_request to_beast(const http_request& request, std::string_view body, bool is_keep_alive)
{
    span_request out;
    out.version(11);
    out.method_string(request.method);
    out.target(request.target);
    for (const auto& it : request.headers) {
        out.insert(it.name, it.value);
    }
    if (out.find(http::field::host) == out.end()) {
        out.set(http::field::host, "almondline");
    }
    out.keep_alive(is_keep_alive);
    out.body() = {body.data(), body.size()};
    out.prepare_payload();
    return out;
}

/// Returns whether a write failed because the connection was reset or lost. The kernel reports such
/// an error only once, so a read that follows sees a regular end. A write on a connection that the
/// server has closed in order fails with a broken pipe instead.
bool is_lost_connection(const boost::system::error_code& ec)
{
    return ec && ec != asio::error::broken_pipe && ec != asio::error::operation_aborted;
}

} // namespace

struct http_connection::state {
    state(asio::any_io_executor executor, http_client_tls client_tls)
        : stream{beast::tcp_stream{std::move(executor)}}, tls{std::move(client_tls)}
    {
    }

    http_internal::client_stream stream;
    http_client_tls tls;
    beast::flat_buffer buf{max_buffered};
    std::optional<http_internal::response_parser> parser;
    bool is_keep_alive = false;
    bool has_response_body = true;     ///< false after a HEAD request
    bool has_write_seen_reset = false; ///< so the reads see a regular end
};

http_connection::http_connection(asio::any_io_executor executor)
    : http_connection{std::move(executor), http_client_tls{}}
{
}

http_connection::http_connection(asio::any_io_executor executor, http_client_tls tls)
    : state_{std::make_unique<state>(std::move(executor), std::move(tls))}
{
}

http_connection::~http_connection() = default;
http_connection::http_connection(http_connection&&) noexcept = default;
http_connection& http_connection::operator=(http_connection&&) noexcept = default;

asio::awaitable<std::string> http_connection::connect(ip_endpoint address,
                                                      std::chrono::milliseconds timeout)
{
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(address.host, ec);
    if (ec) {
        co_return "\"" + address.host + "\" is not an IP address";
    }
    state_->stream.lower().expires_after(timeout);
    const asio::ip::tcp::endpoint endpoint{ip, address.port};
    std::tie(ec) = co_await state_->stream.lower().async_connect(endpoint, use_tuple);
    if (ec) {
        co_return "connect: " + ec.message();
    }
    state_->stream.lower().socket().set_option(asio::ip::tcp::no_delay{true}, ec);
    if (!state_->tls.credentials) {
        co_return std::string{};
    }
    const tls_internal::server_identity identity{address.host, state_->tls.server_name};
    co_return co_await state_->stream.handshake(asio::ssl::stream_base::client,
                                                state_->tls.credentials, identity);
}

asio::awaitable<std::string> http_connection::write_request(const http_request& request,
                                                            std::chrono::milliseconds timeout)
{
    return write_request(request, request.body, timeout);
}

asio::awaitable<std::string> http_connection::write_request(const http_request& head,
                                                            std::string_view body,
                                                            std::chrono::milliseconds timeout)
{
    state_->has_response_body = head.method != "HEAD";
    const auto message = to_beast(head, body, state_->is_keep_alive);
    state_->stream.lower().expires_after(timeout);
    const auto [ec, n] = co_await http::async_write(state_->stream, message, use_tuple);
    state_->has_write_seen_reset = is_lost_connection(ec);
    co_return ec ? "write: " + ec.message() : std::string{};
}

asio::awaitable<std::string> http_connection::read_header(http_response& response,
                                                          std::chrono::milliseconds timeout)
{
    auto& parser = state_->parser.emplace();
    parser.header_limit(max_header_size);
    parser.body_limit(boost::none);
    parser.skip(!state_->has_response_body);
    state_->stream.lower().expires_after(timeout);
    auto ec = co_await http_internal::read_response_header(state_->stream, state_->buf, parser);
    if (!ec) {
        ec = http_internal::check_transfer_coding(parser.get());
    }
    if (ec) {
        co_return "read header: " + ec.message();
    }
    const auto status = static_cast<int>(parser.get().result_int());
    if (status < first_status || status > last_status) {
        co_return "read header: the status " + std::to_string(status) + " is invalid";
    }
    response.status = status;
    for (const auto& it : parser.get()) {
        response.headers.push_back({std::string{it.name_string()}, std::string{it.value()}});
    }
    co_return std::string{};
}

asio::awaitable<std::string> http_connection::read_some(std::string& body, bool& is_done,
                                                        std::chrono::milliseconds timeout)
{
    auto& parser = *state_->parser;
    if (parser.is_done()) {
        is_done = true;
        co_return std::string{};
    }
    char buf[read_buffer_size];
    parser.get().body().data = buf;
    parser.get().body().size = sizeof buf;
    state_->stream.lower().expires_after(timeout);
    // async_read_some returns after one read; async_read would wait until the buffer is full.
    const auto [ec, n] =
        co_await http::async_read_some(state_->stream, state_->buf, parser, use_tuple);
    body.append(buf, sizeof buf - parser.get().body().size);
    if (parser.is_done() && parser.need_eof() && state_->has_write_seen_reset) {
        co_return "read body: the connection was reset during the request";
    }
    is_done = parser.is_done();
    if (ec && ec != http::error::need_buffer) {
        co_return "read body: " + ec.message();
    }
    co_return std::string{};
}

void http_connection::close()
{
    boost::system::error_code ec;
    state_->stream.lower().socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    state_->stream.lower().close();
}

void http_connection::keep_alive(bool is_keep_alive)
{
    state_->is_keep_alive = is_keep_alive;
}

bool http_connection::is_reusable()
{
    const auto& parser = state_->parser;
    if (!state_->is_keep_alive || !parser || !parser->is_done() || !parser->keep_alive() ||
        state_->buf.size() > 0) {
        return false;
    }
    auto& socket = state_->stream.lower().socket();
    char byte = 0;
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

bool http_connection::is_ended_by_close() const
{
    return state_->parser && state_->parser->need_eof();
}

void http_connection::stop_writing()
{
    boost::system::error_code ec;
    state_->is_keep_alive = false;
    // A pending write would consume the error of a reset, and the reads would see a regular end.
    state_->stream.lower().cancel();
    state_->stream.lower().socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

void http_connection::set_unacknowledged_timeout(std::chrono::milliseconds limit)
{
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    boost::system::error_code ec;
    const user_timeout option{static_cast<int>(limit.count())};
    state_->stream.lower().socket().set_option(option, ec);
}

void http_connection::enable_keepalive_probes(std::chrono::seconds interval)
{
    using asio::detail::socket_option::integer;
    const int seconds = static_cast<int>(interval.count());
    auto& socket = state_->stream.lower().socket();
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::keep_alive{true}, ec);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>{seconds}, ec);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>{seconds}, ec);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>{max_unanswered_probes}, ec);
}

asio::awaitable<std::string> read_final_header(http_connection& connection, http_response& response,
                                               std::chrono::milliseconds timeout)
{
    for (int i = 0; i <= max_interim_responses; ++i) {
        response = {};
        auto error = co_await connection.read_header(response, timeout);
        if (!error.empty() || response.status >= first_final_status) {
            co_return error;
        }
    }
    response = {};
    co_return "received only interim responses";
}

asio::awaitable<std::string> read_body(http_connection& connection, std::string& body,
                                       std::size_t max_body, std::chrono::milliseconds timeout)
{
    std::string error;
    bool is_done = false;
    while (!is_done && error.empty()) {
        error = co_await connection.read_some(body, is_done, timeout);
        if (body.size() > max_body) {
            error = "read body: longer than the limit";
        }
    }
    co_return error;
}

asio::awaitable<probe_result> probe_listener(ip_endpoint address, std::chrono::milliseconds timeout)
{
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(address.host, ec);
    if (ec) {
        co_return probe_result::no_answer;
    }
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    stream.expires_after(timeout);
    const asio::ip::tcp::endpoint endpoint{ip, address.port};
    std::tie(ec) = co_await stream.async_connect(endpoint, use_tuple);
    if (!ec) {
        co_return probe_result::listening;
    }
    co_return ec == asio::error::connection_refused ? probe_result::refused
                                                    : probe_result::no_answer;
}

asio::awaitable<http_result> call_http(ip_endpoint address, http_request request,
                                       http_timeouts timeouts, std::size_t max_body)
{
    http_client_tls plain;
    co_return co_await call_http(std::move(address), std::move(request), timeouts, max_body,
                                 std::move(plain));
}

asio::awaitable<http_result> call_http(ip_endpoint address, http_request request,
                                       http_timeouts timeouts, std::size_t max_body,
                                       http_client_tls tls)
{
    http_result result;
    http_connection connection{co_await asio::this_coro::executor, std::move(tls)};
    result.message = co_await connection.connect(address, timeouts.connect);
    if (!result.message.empty()) {
        co_return result;
    }
    co_return co_await call_on_connection(connection, request, timeouts, max_body);
}

asio::awaitable<http_result> call_on_connection(http_connection& connection,
                                                const http_request& request, http_timeouts timeouts,
                                                std::size_t max_body)
{
    http_result result;
    result.progress = http_progress::sent;
    result.message = co_await connection.write_request(request, timeouts.write);
    if (!result.message.empty()) {
        co_return result;
    }
    result.message = co_await read_final_header(connection, result.response, timeouts.read);
    if (!result.message.empty()) {
        co_return result;
    }
    result.progress = http_progress::answered;
    result.message = co_await read_body(connection, result.response.body, max_body, timeouts.read);
    if (result.message.empty()) {
        result.progress = http_progress::complete;
    }
    co_return result;
}

} // namespace almondline
