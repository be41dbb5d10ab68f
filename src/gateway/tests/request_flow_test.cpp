#include "gateway/request_flow.h"

#include "gateway/types/gateway_context.h"
#include "http/server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <stdexcept>

using namespace almondline;
using namespace almondline::gateway;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

call decode(http_request request)
{
    call out;
    out.attempt_id = "a1";
    out.host = "h";
    out.message = std::move(request);
    return out;
}

http_response refuse(const std::string& /*attempt_id*/, int status, const refusal& reason)
{
    return json_response(status, std::string{to_string(reason.run)});
}

struct silent_sender final : peer_sender {
    void send(const std::string& /*instance_id*/, const wire::envelope& /*message*/) override {}
};

/// A caller that stays connected.
struct fake_exchange final : http_exchange {
    explicit fake_exchange(asio::io_context& context) : io{context} {}

    const http_request& request() const override { return message; }
    std::string take_body() override { return std::exchange(message.body, {}); }
    asio::awaitable<bool> reply(http_response response) override
    {
        answer = std::move(response);
        co_return true;
    }
    asio::awaitable<bool> start_stream(int /*status*/,
                                       std::vector<http_header> /*headers*/) override
    {
        co_return true;
    }
    asio::awaitable<bool> write_chunk(std::string_view /*data*/) override { co_return true; }
    asio::awaitable<bool> end_stream() override { co_return true; }
    asio::awaitable<void> wait_closed() override
    {
        asio::steady_timer never{io, asio::steady_timer::time_point::max()};
        co_await never.async_wait(asio::use_awaitable);
    }
    void abort() override { is_aborted = true; }
    void close_after_response() override { is_closing = true; }
    std::string remote_address() const override { return {}; }

    asio::io_context& io;
    http_request message{"GET", "/x/", {}, ""};
    std::optional<http_response> answer;
    bool is_aborted = false;
    bool is_closing = false;
};

/// Routes with one route to a service.
std::shared_ptr<const route_table> make_routes(const std::string& service,
                                               const std::string& prefix = "/x/")
{
    auto content = std::make_shared<manifest>();
    route_policy route;
    route.host = "h";
    route.prefix = prefix;
    route.kind = route_kind::idempotent;
    route.is_public = true;
    route.timeout = milliseconds{3'000};
    route.services = {{service, 1}};
    content->routes.push_back(route);
    service_policy policy;
    policy.name = service;
    content->services.push_back(policy);
    content->tiers = make_tiers(*content);
    return make_route_table(std::move(content));
}

/// A gateway with one route, whose service no instance grants credits for.
struct fixture {

    /// Runs one request to its end.
    void run()
    {
        asio::co_spawn(io, run_request(context, exchange), asio::detached);
        io.run();
    }

    asio::io_context io;
    system_clock_source clock;
    silent_sender sender;
    granting::decision_log decisions{clock};
    granting::credit_client credits{
        {}, clock, sender, [](const std::string&) { return granting::pool_owner_id{}; }, decisions};
    fleet::replica_registry replicas;
    connection_pool connections{clock, {}};
    retry_window retries;
    metrics_registry metrics;
    std::atomic<std::uint64_t> response_bytes{0};
    std::shared_ptr<const route_table> routes = make_routes("s");
    fake_exchange exchange{io};
    gateway_context context{clock,
                            {decode, nullptr, nullptr, nullptr, nullptr, refuse},
                            {},
                            credits,
                            decisions,
                            replicas,
                            connections,
                            retries,
                            metrics,
                            response_bytes,
                            1'000'000,
                            [this] { return routes; },
                            [](const std::string& service, const auto&, const auto& refused_by) {
                                return refused_by.empty() ? service : std::string{};
                            },
                            [](const std::string&, const granting::fingerprints&) {
                                return std::optional<granting::quarantine_hold>{};
                            },
                            [](const std::string&, const server_notice&) {},
                            [] { return std::size_t{1}; }};
};

} // namespace

// The caller waited for the whole time of the route, and then got 503 with the code "time-up".
TEST_CASE("a request whose processing fails is answered at once")
{
    fixture f;
    f.context.quarantine_wait = [](const std::string&, const granting::fingerprints&)
        -> std::optional<granting::quarantine_hold> { throw std::runtime_error{"broken"}; };
    const auto begin = f.clock.now();
    f.run();
    CHECK(f.clock.now() - begin < milliseconds{1'000});
    REQUIRE(f.exchange.answer);
    CHECK(f.exchange.answer->status == 503);
    CHECK(f.exchange.answer->body == "not-run");
}

// Such a request waited until its deadline for a pool that no instance owned any more.
TEST_CASE("a waiting request whose service is removed goes to the service that its route has now")
{
    fixture f;
    std::vector<std::string> asked;
    f.context.choose_pool = [&](const std::string& service, const auto&, const auto&) {
        asked.push_back(service);
        if (service == "s") {
            f.routes = make_routes("t");
            return service;
        }
        throw std::runtime_error{"seen enough"};
    };
    f.run();
    CHECK(asked == std::vector<std::string>{"s", "t"});
}

TEST_CASE("a waiting request whose route is removed is refused at once")
{
    fixture f;
    f.context.choose_pool = [&](const std::string& service, const auto&, const auto&) {
        f.routes = make_routes("t", "/other/");
        return service;
    };
    const auto begin = f.clock.now();
    f.run();
    CHECK(f.clock.now() - begin < milliseconds{1'000});
    REQUIRE(f.exchange.answer);
    CHECK(f.exchange.answer->status == 503);
    CHECK(f.exchange.answer->body == "not-run");
}

// Requests that waited for a credit were cut without an answer when the process ended.
TEST_CASE("a waiting request that can't be finished before the instance ends is refused at once")
{
    fixture f;
    f.context.stop.limit = milliseconds{2'000};
    asio::steady_timer timer{f.io, milliseconds{100}};
    timer.async_wait([&](boost::system::error_code) {
        f.context.stop.started = f.clock.now();
        REQUIRE(f.context.in_progress.size() == 1);
        note_instance_stop(**f.context.in_progress.begin());
    });
    const auto begin = f.clock.now();
    f.run();
    CHECK(f.clock.now() - begin < milliseconds{1'000});
    REQUIRE(f.exchange.answer);
    CHECK(f.exchange.answer->status == 503);
    CHECK(f.exchange.answer->body == "not-run");
    CHECK(f.exchange.is_closing);
    CHECK(f.context.in_progress.empty());
}

TEST_CASE("a waiting request that can still be finished waits until the latest time to begin it")
{
    fixture f;
    f.context.stop = {milliseconds{2'000}, f.clock.now()};
    note_answer_time(f.context.answer_times, "", {milliseconds{900}, milliseconds{0}, 0},
                     f.clock.now());
    const auto begin = f.clock.now();
    f.run();
    const auto waited = f.clock.now() - begin;
    CHECK(waited >= milliseconds{800});
    CHECK(waited < milliseconds{1'300});
    REQUIRE(f.exchange.answer);
    CHECK(f.exchange.answer->status == 503);
    CHECK(f.exchange.answer->body == "not-run");
}
