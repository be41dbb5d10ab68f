#include "placement/http_order_sender.h"

#include "common/settings.h"
#include "http/client.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <vector>

namespace almondline::placement {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr int status_ok = 200;
constexpr int first_redirect_status = 300;
constexpr int status_conflict = 409;

/// One order in the engines' protocol.
struct engine_order {
    const char* kind = "";
    std::string target;
};

std::vector<engine_order> to_engine_orders(const placement_order& order)
{
    switch (order.kind) {
    case order_kind::drain:
        return {{"role", "draining"}};
    case order_kind::serve:
        return {{"role", "serving"}};
    case order_kind::load:
        break;
    }
    std::vector<engine_order> orders;
    if (!order.replaces.empty()) {
        orders.push_back({"unload-model", order.replaces});
    }
    orders.push_back({"load-model", order.model});
    return orders;
}

http_request make_request(const engine_order& order, std::uint64_t fencing)
{
    const boost::json::object body{
        {"kind", order.kind}, {"target", order.target}, {"fencing", fencing}};
    return {
        "POST", "/v1/orders", {{"Content-Type", "application/json"}}, boost::json::serialize(body)};
}

order_status status_of(int http_status)
{
    if (http_status >= status_ok && http_status < first_redirect_status) {
        return order_status::done;
    }
    return http_status == status_conflict ? order_status::stale : order_status::failed;
}

} // namespace

struct http_order_sender::state {
    state(asio::any_io_executor own_executor, const clock_source& time)
        : executor{std::move(own_executor)}, clock{time}
    {
    }

    asio::awaitable<order_status> send_engine_order(ip_endpoint address, http_request request,
                                                    steady_time until);
    milliseconds time_left(steady_time until) const
    {
        return std::chrono::duration_cast<milliseconds>(until - clock.now());
    }

    asio::any_io_executor executor;
    const clock_source& clock;
    bool is_closed = false;
};

asio::awaitable<order_status> http_order_sender::state::send_engine_order(ip_endpoint address,
                                                                          http_request request,
                                                                          steady_time until)
{
    auto left = time_left(until);
    if (left.count() <= 0) {
        co_return order_status::failed;
    }
    http_connection connection{executor};
    auto failure = co_await connection.connect(std::move(address), left);
    if (is_closed || !failure.empty()) {
        co_return order_status::failed;
    }
    // If the process was paused, the connection may be ready although the deadline has passed.
    left = time_left(until);
    if (left.count() <= 0) {
        co_return order_status::failed;
    }
    failure = co_await connection.write_request(request, left);
    left = time_left(until);
    if (!failure.empty() || is_closed || left.count() <= 0) {
        co_return order_status::unknown;
    }
    http_response response;
    failure = co_await read_final_header(connection, response, left);
    co_return failure.empty() ? status_of(response.status) : order_status::unknown;
}

http_order_sender::http_order_sender(asio::any_io_executor executor, const clock_source& clock)
    : state_{std::make_shared<state>(std::move(executor), clock)}
{
}

http_order_sender::~http_order_sender()
{
    state_->is_closed = true;
}

void http_order_sender::send(const placement_order& order, milliseconds timeout,
                             std::function<void(order_status)> done)
{
    auto until = state_->clock.now() + timeout;
    if (order.send_until != steady_time{}) {
        until = std::min(until, order.send_until);
    }
    const auto run = [](std::shared_ptr<state> self, placement_order order, steady_time until,
                        std::function<void(order_status)> done) -> asio::awaitable<void> {
        ip_endpoint address;
        auto result = order_status::failed;
        if (parse_endpoint(order.address, address)) {
            for (const auto& step : to_engine_orders(order)) {
                auto request = make_request(step, order.fencing);
                result = co_await self->send_engine_order(address, std::move(request), until);
                if (result != order_status::done) {
                    break;
                }
            }
        }
        if (!self->is_closed) {
            done(result);
        }
    };
    asio::co_spawn(state_->executor, run(state_, order, until, std::move(done)), asio::detached);
}

} // namespace almondline::placement
