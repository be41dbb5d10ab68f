#include "gateway/internal/attempt_connection.h"

#include <boost/asio/this_coro.hpp>
#include <utility>

namespace almondline::gateway {

namespace asio = boost::asio;

namespace {

std::string server_key(const granting::credit& granted)
{
    return granted.backend_id + "@" + granted.backend_address;
}

} // namespace

asio::awaitable<bool> open_connection(gateway_context& context, request_attempts& attempts,
                                      server_attempt& attempt)
{
    attempt.connection = context.connections.take(server_key(attempt.credit));
    if (attempt.connection) {
        co_return !is_superseded(attempt);
    }
    attempt.connection.emplace(co_await asio::this_coro::executor);
    attempt.connection->keep_alive(true);
    ip_endpoint address;
    parse_endpoint(attempt.credit.backend_address, address);
    auto error = co_await attempt.connection->connect(address, context.limits.connect_timeout);
    if (is_superseded(attempt)) {
        co_return false;
    }
    if (!error.empty()) {
        attempt.connection.reset();
        attempt.result = attempt_end::unreachable;
        attempt.cause = std::move(error);
        ++attempts.unreachable_servers;
        co_return false;
    }
    attempt.connection->set_unacknowledged_timeout(context.limits.unacknowledged_timeout);
    context.metrics.add("almondline_backend_connections_total", {{"service", attempt.service}});
    co_return true;
}

void keep_connection(gateway_context& context, server_attempt& attempt)
{
    context.connections.put(server_key(attempt.credit), std::move(*attempt.connection),
                            attempt.response);
    attempt.connection.reset();
}

} // namespace almondline::gateway
