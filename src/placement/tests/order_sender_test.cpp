#include "http/tests/raw_server.h"
#include "placement/http_order_sender.h"
#include "store/tests/scripted_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <optional>

using namespace almondline;
using namespace almondline::placement;
using namespace std::chrono_literals;

namespace {

struct fixture {
    std::string address(std::uint16_t port) const { return "127.0.0.1:" + std::to_string(port); }

    order_status send(const placement_order& order, std::chrono::milliseconds timeout = 500ms)
    {
        std::optional<order_status> result;
        int calls = 0;
        sender.send(order, timeout, [&](order_status status) {
            result = status;
            ++calls;
            io.stop();
        });
        io.restart();
        io.run_for(5s);
        REQUIRE(result);
        CHECK(calls == 1);
        return *result;
    }

    placement_order make(order_kind kind, const std::string& replaces = {}) const
    {
        placement_order order;
        order.replica_id = "r1";
        order.address = address(engine.server.port());
        order.kind = kind;
        order.model = "new";
        order.replaces = replaces;
        order.fencing = 42;
        return order;
    }

    std::vector<std::string> bodies() const
    {
        std::vector<std::string> out;
        for (const auto& it : engine.requests) {
            CHECK(it.method == "POST");
            CHECK(it.target == "/v1/orders");
            out.push_back(it.body);
        }
        return out;
    }

    boost::asio::io_context io;
    manual_clock clock;
    scripted_server engine{io};
    http_order_sender sender{io.get_executor(), clock};
};

} // namespace

TEST_CASE("orders are mapped to the kinds of the engines' protocol")
{
    struct mapping {
        order_kind kind;
        std::string replaces;
        std::vector<std::string> bodies;
    };
    const std::vector<mapping> cases{
        {order_kind::drain, "", {R"({"kind":"role","target":"draining","fencing":42})"}},
        {order_kind::serve, "", {R"({"kind":"role","target":"serving","fencing":42})"}},
        {order_kind::load, "", {R"({"kind":"load-model","target":"new","fencing":42})"}},
        {order_kind::load,
         "old",
         {R"({"kind":"unload-model","target":"old","fencing":42})",
          R"({"kind":"load-model","target":"new","fencing":42})"}},
    };
    for (const auto& it : cases) {
        fixture f;
        CHECK(f.send(f.make(it.kind, it.replaces)) == order_status::done);
        CHECK(f.bodies() == it.bodies);
    }
}

// Guards against mistaking one failure for another: "failed" means that the order must be resent,
// "stale" makes the holder step down.
TEST_CASE("engine and connection failures map to the right order status")
{
    struct fault {
        const char* name;
        scripted_step step;
        int status;
        order_status expected;
    };
    const std::vector<fault> cases{
        {"created", scripted_step::answer, 201, order_status::done},
        {"stale fencing token", scripted_step::answer, 409, order_status::stale},
        {"bad order", scripted_step::answer, 400, order_status::failed},
        {"engine error", scripted_step::answer, 500, order_status::failed},
        {"overload", scripted_step::answer, 503, order_status::failed},
        {"closed without an answer", scripted_step::close_connection, 200, order_status::unknown},
        {"no answer", scripted_step::never_respond, 200, order_status::unknown},
        {"answer truncated after the header", scripted_step::truncate_body, 200,
         order_status::done},
    };
    for (const auto& it : cases) {
        CAPTURE(it.name);
        fixture f;
        f.engine.step = it.step;
        f.engine.response = json_response(it.status, R"({"fencing":50})");
        CHECK(f.send(f.make(order_kind::load, "old")) == it.expected);
        // The load must not be sent if the unload before it did not take effect.
        CHECK(f.engine.requests.size() == (it.expected == order_status::done ? 2 : 1));
    }
}

// The status of the interim response counted as the engine's answer, and the order was sent again.
TEST_CASE("an interim response is not the answer to an order")
{
    fixture f;
    raw_server interim_engine;
    std::thread thread{[&] {
        interim_engine.answer("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false);
    }};
    auto order = f.make(order_kind::drain);
    order.address = f.address(interim_engine.address().port);
    CHECK(f.send(order) == order_status::done);
    thread.join();
}

TEST_CASE("an order to an unreachable engine or a malformed address fails")
{
    fixture f;
    auto order = f.make(order_kind::drain);
    order.address = f.address(closed_address().port);
    CHECK(f.send(order) == order_status::failed);
    order.address = "not an address";
    CHECK(f.send(order) == order_status::failed);
}

// Guards against sending an order if the process was paused between the lease check and the write:
// a newer holder may have sent its orders meanwhile.
TEST_CASE("nothing is sent after the deadline of an order")
{
    SUBCASE("paused before connecting")
    {
        fixture f;
        auto order = f.make(order_kind::drain);
        order.send_until = f.clock.now() + 100ms;
        f.clock.advance(1s);
        CHECK(f.send(order) == order_status::failed);
        CHECK(f.engine.requests.empty());
    }
    SUBCASE("paused while connecting")
    {
        fixture f;
        std::optional<order_status> result;
        f.sender.send(f.make(order_kind::drain), 500ms,
                      [&](order_status status) { result = status; });
        f.io.run_one(); // starts the order, which waits for its connection
        REQUIRE_FALSE(result);
        f.clock.advance(1s);
        f.io.run_for(300ms);
        CHECK(result == order_status::failed);
        CHECK(f.engine.requests.empty());
    }
    SUBCASE("paused between the unload and the load")
    {
        fixture f;
        std::optional<order_status> result;
        f.sender.send(f.make(order_kind::load, "old"), 500ms,
                      [&](order_status status) { result = status; });
        while (f.engine.requests.empty()) {
            f.io.run_one();
        }
        f.clock.advance(1s);
        f.io.run_for(300ms);
        REQUIRE(result);
        CHECK(f.engine.requests.size() == 1);
    }
}
