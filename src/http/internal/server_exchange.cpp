#include "http/internal/server_exchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace almondline::http_internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

template <class Message>
void add_headers(Message& message, const std::vector<http_header>& headers)
{
    for (const auto& it : headers) {
        message.insert(it.name, it.value);
    }
}

} // namespace

server_exchange::server_exchange(http_stream& stream, boost::beast::flat_buffer& buf,
                                 http_request request, bool keep_alive,
                                 const http_server_limits& limits)
    : stream_{stream}, buf_{buf}, request_{std::move(request)}, keep_alive_{keep_alive}, limits_{
                                                                                             limits}
{
}

asio::awaitable<bool> server_exchange::reply(http_response response)
{
    is_answered_ = true;
    decide_keep_alive();
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    add_headers(message, response.headers);
    message.keep_alive(keep_alive_);
    message.body() = std::move(response.body);
    message.prepare_payload();
    http::response_serializer<http::string_body> serializer{message};
    stream_.lower().expires_after(limits_.write_timeout);
    if (has_body()) {
        const auto [ec, n] = co_await http::async_write(stream_, serializer, use_tuple);
        co_return update_is_open(ec);
    }
    const auto [ec, n] = co_await http::async_write_header(stream_, serializer, use_tuple);
    co_return update_is_open(ec);
}

asio::awaitable<bool> server_exchange::start_stream(int status, std::vector<http_header> headers)
{
    is_answered_ = true;
    is_streaming_ = true;
    decide_keep_alive();
    http::response<http::empty_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(status));
    add_headers(message, headers);
    message.keep_alive(keep_alive_);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer{message};
    stream_.lower().expires_after(limits_.write_timeout);
    const auto [ec, n] = co_await http::async_write_header(stream_, serializer, use_tuple);
    co_return update_is_open(ec);
}

asio::awaitable<bool> server_exchange::write_chunk(std::string_view data)
{
    if (data.empty() || !has_body()) {
        co_return is_open_;
    }
    stream_.lower().expires_after(limits_.write_timeout);
    const auto chunk = http::make_chunk(asio::buffer(data.data(), data.size()));
    const auto [ec, n] = co_await asio::async_write(stream_, chunk, use_tuple);
    co_return update_is_open(ec);
}

asio::awaitable<bool> server_exchange::end_stream()
{
    is_streaming_ = false;
    if (!has_body()) {
        co_return is_open_;
    }
    stream_.lower().expires_after(limits_.write_timeout);
    const auto [ec, n] = co_await asio::async_write(stream_, http::make_chunk_last(), use_tuple);
    co_return update_is_open(ec);
}

asio::awaitable<void> server_exchange::wait_closed()
{
    // A caller that pipelines its next request has not closed the connection, so only an end of
    // file counts.
    while (is_open_) {
        const auto [ec] =
            co_await stream_.lower().socket().async_wait(tcp::socket::wait_read, use_tuple);
        if (ec || (stream_.is_tls() && !co_await read_ahead())) {
            co_return;
        }
        if (stream_.is_tls()) {
            co_await wait_forever();
        }
        char byte = 0;
        boost::system::error_code peek_ec;
        const auto n = stream_.lower().socket().receive(asio::buffer(&byte, 1),
                                                        tcp::socket::message_peek, peek_ec);
        if (peek_ec && peek_ec != asio::error::would_block) {
            co_return;
        }
        if (n > 0) {
            co_await wait_forever();
        }
    }
}

void server_exchange::abort()
{
    is_open_ = false;
    stream_.lower().close();
}

std::string server_exchange::remote_address() const
{
    boost::system::error_code ec;
    const auto remote = stream_.lower().socket().remote_endpoint(ec);
    return ec ? std::string{} : remote.address().to_string();
}

void server_exchange::decide_keep_alive()
{
    if (!is_closing_) {
        return;
    }
    boost::system::error_code ec;
    const bool has_input = buf_.size() > 0 || stream_.lower().socket().available(ec) > 0;
    keep_alive_ = keep_alive_ && has_input;
}

bool server_exchange::update_is_open(const boost::system::error_code& ec)
{
    is_open_ = is_open_ && !ec;
    return is_open_;
}

asio::awaitable<bool> server_exchange::read_ahead()
{
    constexpr std::size_t read_size = 1024;
    const auto space = buf_.prepare(read_size);
    const auto [ec, n] = co_await stream_.async_read_some(space, use_tuple);
    buf_.commit(n);
    co_return !ec;
}

asio::awaitable<void> server_exchange::wait_forever()
{
    asio::steady_timer timer{stream_.get_executor(), asio::steady_timer::time_point::max()};
    co_await timer.async_wait(use_tuple);
}

} // namespace almondline::http_internal
