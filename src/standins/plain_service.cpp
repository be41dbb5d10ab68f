#include "standins/plain_service.h"

#include "common/hash.h"
#include "standins/internal/standin_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace almondline::standins {

namespace asio = boost::asio;

struct plain_service::state : std::enable_shared_from_this<plain_service::state> {
    state(asio::io_context& context, const clock_source& time_source,
          const plain_options& service_options);

    asio::awaitable<void> handle(http_exchange& exchange);

    asio::io_context& io;
    const clock_source& clock;
    plain_options options;
    standin_server server;
};

plain_service::state::state(asio::io_context& context, const clock_source& time_source,
                            const plain_options& service_options)
    : io{context}, clock{time_source}, options{service_options},
      server{context, options.listen, time_source,
             [this](http_exchange& exchange) -> asio::awaitable<void> { return handle(exchange); }}
{
    server.open_journal(options.journal_path);
}

asio::awaitable<void> plain_service::state::handle(http_exchange& exchange)
{
    const auto self = shared_from_this();
    const auto& request = exchange.request();
    std::string id{find_header(request.headers, "X-Request-Id")};
    if (id.empty()) {
        id = random_id();
    }
    const std::string path{target_path(request.target)};
    note_dispatch(server.requests(), id, sha256_hex(request.body), clock.wall());
    if (consume_fault(server.faults(), fault_kind::refuse_admission, request.method, path,
                      clock.now())) {
        ++entry_of(server.requests(), id).refused;
        auto refused = json_response(503, R"({"error":{"message":"refused by a fault order"}})");
        refused.headers.push_back({"X-Not-Admitted", "true"});
        refused.headers.push_back({"Retry-After", "1"});
        co_await exchange.reply(std::move(refused));
        co_return;
    }
    note_run(server.requests(), id);
    const int ran = entry_of(server.requests(), id).ran;
    asio::steady_timer timer{io, options.work};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    ++entry_of(server.requests(), id).completed;
    boost::json::object body;
    body["method"] = request.method;
    body["path"] = request.target;
    body["body_sha256"] = sha256_hex(request.body);
    body["ran"] = ran;
    co_await exchange.reply(json_response(200, boost::json::serialize(body)));
}

plain_service::plain_service(asio::io_context& io, const clock_source& clock,
                             const plain_options& options)
    : state_{std::make_shared<state>(io, clock, options)}
{
}

plain_service::~plain_service()
{
    stop();
}

std::uint16_t plain_service::port() const
{
    return state_->server.port();
}

void plain_service::stop()
{
    state_->server.stop();
}

} // namespace almondline::standins
