#include "http/client.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <thread>

using namespace almondline;
using namespace boost::asio::experimental::awaitable_operators;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds timeout{5'000};
constexpr std::size_t upload_size = 32 * 1024 * 1024; ///< more than the sockets' buffers hold
constexpr std::string_view head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";

/// How a server ends its connection after a response.
enum class connection_end { reset, closed, closed_then_reset };

/// When the client starts to read.
enum class read_start { at_once, after_end };

/// A server that responds as soon as it has read the header of a request.
class early_server {
public:
    early_server() : acceptor_{io_, {asio::ip::address_v4::loopback(), 0}} {}

    ip_endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    bool has_ended() const { return has_ended_; }

    void answer(std::string_view response, connection_end end)
    {
        boost::system::error_code ec;
        auto socket = acceptor_.accept(ec);
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n", ec);
        asio::write(socket, asio::buffer(response), ec);
        if (end != connection_end::reset) {
            socket.shutdown(tcp::socket::shutdown_send, ec);
        }
        if (end != connection_end::closed) {
            socket.set_option(asio::socket_base::linger{true, 0}, ec);
            socket.close(ec);
        }
        has_ended_ = true;
        if (end == connection_end::closed) {
            read_to_end(socket);
        }
    }

private:
    static void read_to_end(tcp::socket& socket)
    {
        boost::system::error_code ec;
        char buf[4096];
        while (!ec) {
            socket.read_some(asio::buffer(buf), ec);
        }
    }

    asio::io_context io_;
    tcp::acceptor acceptor_;
    std::atomic<bool> has_ended_{false};
};

/// A client that reads the response while it sends a long request.
class uploading_client {
public:
    uploading_client(early_server& server, read_start start) : server_{server}, start_{start} {}

    asio::awaitable<void> call()
    {
        http_connection connection{co_await asio::this_coro::executor};
        const http_request request{"POST", "/x", {}, std::string(upload_size, 'x')};
        message = co_await connection.connect(server_.address(), timeout);
        co_await (connection.write_request(request, timeout) && read_header(connection));
        while (message.empty() && !is_complete) {
            message = co_await connection.read_some(body, is_complete, timeout);
        }
        is_complete = is_complete && message.empty();
    }

    std::string message; ///< cause of a failure
    std::string body;
    bool is_complete = false;

private:
    asio::awaitable<void> read_header(http_connection& connection)
    {
        asio::steady_timer timer{co_await asio::this_coro::executor};
        while (start_ == read_start::after_end && !server_.has_ended()) {
            timer.expires_after(milliseconds{1});
            co_await timer.async_wait(asio::use_awaitable);
        }
        http_response response;
        message = co_await connection.read_header(response, timeout);
        connection.stop_writing();
    }

    early_server& server_;
    read_start start_;
};

} // namespace

// The reset was reported to the write, and the read took the end that followed for the regular one:
// callers got a part of a body as a complete response.
TEST_CASE("an early response that is reset during the upload is complete only if framed")
{
    struct row {
        std::string name;
        std::string rest; ///< of the response
        connection_end end;
        bool is_complete;
    };
    const std::string length = "Content-Length: 5\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const row rows[] = {
        {"unframed, reset", "\r\npart", connection_end::reset, false},
        {"unframed without a body, reset", "\r\n", connection_end::reset, false},
        {"part of a length, reset", length + "hel", connection_end::reset, false},
        {"part of the chunks, reset", chunked + "3\r\nhel\r\n", connection_end::reset, false},
        {"length, reset", length + "hello", connection_end::reset, true},
        {"chunks, reset", chunked + "5\r\nhello\r\n0\r\n\r\n", connection_end::reset, true},
        {"unframed, closed", "\r\nhello", connection_end::closed, true},
        {"unframed, closed and then reset", "\r\nhello", connection_end::closed_then_reset, true},
        {"part of a length, closed", length + "hel", connection_end::closed, false},
    };
    for (const auto& it : rows) {
        for (const auto start : {read_start::at_once, read_start::after_end}) {
            CAPTURE(it.name);
            CAPTURE(static_cast<int>(start));
            early_server server;
            const auto response = std::string{head} + it.rest;
            std::thread thread{[&] { server.answer(response, it.end); }};
            asio::io_context io;
            uploading_client client{server, start};
            asio::co_spawn(io, client.call(), asio::detached);
            io.run();
            thread.join();
            CHECK(client.is_complete == it.is_complete);
            CHECK(client.message.empty() == it.is_complete);
            if (it.is_complete) {
                CHECK(client.body == "hello");
            }
        }
    }
}

TEST_CASE("call_http fails if the server resets the connection during the upload")
{
    for (const auto* rest : {"\r\npart", "Content-Length: 5\r\n\r\nhello"}) {
        CAPTURE(rest);
        early_server server;
        const auto response = std::string{head} + rest;
        std::thread thread{[&] { server.answer(response, connection_end::reset); }};
        http_result result;
        asio::io_context io;
        const auto run = [&]() -> asio::awaitable<void> {
            const http_request request{"POST", "/x", {}, std::string(upload_size, 'x')};
            const http_timeouts timeouts;
            result = co_await call_http(server.address(), request, timeouts);
        };
        asio::co_spawn(io, run(), asio::detached);
        io.run();
        thread.join();
        CHECK(result.progress == http_progress::sent);
        CHECK(!result.message.empty());
    }
}
