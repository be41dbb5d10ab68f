#include "http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace almondline;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A server that answers each connection with the bytes at hand and ends it, by a reset if asked.
class cutting_server {
public:
    cutting_server() : acceptor_{io_, {asio::ip::address_v4::loopback(), 0}} {}

    ip_endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

    void answer(std::string_view bytes, bool is_reset)
    {
        boost::system::error_code ec;
        auto socket = acceptor_.accept(ec);
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n", ec);
        asio::write(socket, asio::buffer(bytes), ec);
        if (is_reset) {
            // A reset discards what the client has not read.
            std::this_thread::sleep_for(std::chrono::milliseconds{2});
            socket.set_option(asio::socket_base::linger{true, 0}, ec);
        }
        else {
            socket.shutdown(tcp::socket::shutdown_send, ec);
        }
        socket.close(ec);
    }

private:
    asio::io_context io_;
    tcp::acceptor acceptor_;
};

http_result call(cutting_server& server, std::string_view bytes, bool is_reset)
{
    std::thread thread{[&] { server.answer(bytes, is_reset); }};
    http_result result;
    asio::io_context io;
    const auto run = [&]() -> asio::awaitable<void> {
        http_request request{"GET", "/x", {}, ""};
        const http_timeouts timeouts;
        result = co_await call_http(server.address(), request, timeouts);
    };
    asio::co_spawn(io, run(), asio::detached);
    io.run();
    thread.join();
    return result;
}

constexpr std::size_t never = 1'000'000;

struct response_form {
    std::string name;
    std::string bytes;
    std::size_t whole_from = 0; ///< bytes that are complete if the server closes after them
};

std::vector<response_form> forms()
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
    const std::string length = head + "Content-Length: 5\r\n\r\nhello";
    const std::string chunks =
        head +
        "Transfer-Encoding: chunked\r\n\r\n3;x=1\r\nhel\r\n2\r\nlo\r\n0\r\nX-Trailer: 1\r\n\r\n";
    const std::string unframed = head + "Connection: close\r\n\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string many;
    for (int n = 0; n < 10; ++n) {
        many += interim;
    }
    return {{"length", length, length.size()},
            {"empty", head + "Content-Length: 0\r\n\r\n", head.size() + 21},
            {"chunked", chunks, chunks.size()},
            {"unframed", unframed + "hello", unframed.size()},
            {"interim", interim, never},
            {"interim and final", interim + interim + length, 2 * interim.size() + length.size()},
            {"many interim", many, never}};
}

} // namespace

// The store's client, almondctl and the other callers of call_http would take a part for the whole.
TEST_CASE("a response that ends early is never complete")
{
    cutting_server server;
    for (const auto& form : forms()) {
        CAPTURE(form.name);
        for (std::size_t n = 0; n <= form.bytes.size(); ++n) {
            CAPTURE(n);
            const auto result = call(server, std::string_view{form.bytes}.substr(0, n), false);
            const bool is_whole = n >= form.whole_from;
            CHECK((result.progress == http_progress::complete) == is_whole);
            CHECK(result.message.empty() == is_whole);
        }
    }
}

TEST_CASE("a response that is reset before its end is never complete")
{
    cutting_server server;
    for (const auto& form : forms()) {
        CAPTURE(form.name);
        const bool has_end = form.whole_from == form.bytes.size();
        const auto end = has_end ? form.bytes.size() - 1 : form.bytes.size();
        for (std::size_t n = 0; n <= end; n += n + 8 < end ? 7 : 1) {
            CAPTURE(n);
            const auto result = call(server, std::string_view{form.bytes}.substr(0, n), true);
            CHECK(result.progress != http_progress::complete);
        }
    }
}
