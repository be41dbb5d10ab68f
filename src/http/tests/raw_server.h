#pragma once

#include "http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string_view>
#include <thread>

namespace almondline {

/// A server that answers each connection with the bytes at hand and ends it, by a reset if asked.
class raw_server {
public:
    raw_server() : acceptor_{io_, {boost::asio::ip::address_v4::loopback(), 0}} {}

    ip_endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

    void answer(std::string_view bytes, bool is_reset)
    {
        boost::system::error_code ec;
        auto socket = acceptor_.accept(ec);
        boost::asio::streambuf request;
        boost::asio::read_until(socket, request, "\r\n\r\n", ec);
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
        if (is_reset) {
            // A reset discards what the client has not read.
            std::this_thread::sleep_for(std::chrono::milliseconds{2});
            socket.set_option(boost::asio::socket_base::linger{true, 0}, ec);
        }
        else {
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
        }
        socket.close(ec);
    }

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

/// Calls the server, which answers with these bytes.
inline http_result call_raw(raw_server& server, std::string_view bytes, bool is_reset)
{
    std::thread thread{[&] { server.answer(bytes, is_reset); }};
    http_result result;
    boost::asio::io_context io;
    const auto run = [&]() -> boost::asio::awaitable<void> {
        http_request request{"GET", "/x", {}, ""};
        const http_timeouts timeouts;
        result = co_await call_http(server.address(), request, timeouts);
    };
    boost::asio::co_spawn(io, run(), boost::asio::detached);
    io.run();
    thread.join();
    return result;
}

} // namespace almondline
