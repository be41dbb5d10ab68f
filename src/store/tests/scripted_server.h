#pragma once

#include "http/server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <vector>

namespace almondline {

enum class scripted_step { answer, close_connection, truncate_body, never_respond };

/// Stand-in for a platform service that handles each request in the same scripted way.
struct scripted_server {
    explicit scripted_server(boost::asio::io_context& io)
        : server{io, {"127.0.0.1", 0}, {}, [this](http_exchange& it) { return handle(it); }}
    {
    }

    ip_endpoint address() const { return {"127.0.0.1", server.port()}; }

    boost::asio::awaitable<void> handle(http_exchange& exchange)
    {
        requests.push_back(exchange.request());
        if (step == scripted_step::answer) {
            co_await exchange.reply(response);
            co_return;
        }
        if (step == scripted_step::truncate_body) {
            co_await exchange.start_stream(response.status, response.headers);
            const std::string partial_body = R"({"revi)";
            co_await exchange.write_chunk(partial_body);
        }
        if (step == scripted_step::never_respond) {
            co_await exchange.wait_closed();
        }
        exchange.abort();
    }

    scripted_step step = scripted_step::answer;
    http_response response = json_response(200, R"({"value":"v","revision":7})");
    std::vector<http_request> requests;
    http_server server;
};

/// Returns an address that nothing listens on.
inline ip_endpoint closed_address()
{
    boost::asio::io_context io;
    const http_server server{io, {"127.0.0.1", 0}, {}, {}};
    return {"127.0.0.1", server.port()};
}

} // namespace almondline
