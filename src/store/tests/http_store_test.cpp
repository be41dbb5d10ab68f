#include "store/http_key_value_store.h"
#include "store/tests/scripted_server.h"

#include <doctest/doctest.h>
#include <memory>

using namespace almondline;
using namespace std::chrono_literals;

namespace {

/// Long timeouts, so that tests don't fail on a busy machine, except for a server that doesn't
/// respond.
store_limits test_limits(scripted_step step = scripted_step::answer)
{
    store_limits limits;
    limits.timeouts = {5s, 5s, 5s};
    if (step == scripted_step::never_respond) {
        limits.timeouts.read = 300ms;
    }
    return limits;
}

struct fixture {
    boost::asio::io_context io;
    manual_clock clock;
    scripted_server first{io};
    scripted_server second{io};

    std::unique_ptr<http_key_value_store> make_store(std::vector<ip_endpoint> addresses,
                                                     store_limits limits = test_limits())
    {
        return std::make_unique<http_key_value_store>(io.get_executor(), std::move(addresses),
                                                      limits, clock);
    }

    /// Starts a call, runs the io_context until the handler is called and returns its argument.
    template <class Result, class Start>
    Result result_of(Start start)
    {
        Result result;
        int calls = 0;
        start([&](const Result& it) {
            result = it;
            ++calls;
            io.stop();
        });
        CHECK(calls == 0);
        io.restart();
        io.run();
        CHECK(calls == 1);
        return result;
    }

    put_result write(http_key_value_store& store, const std::string& value = "x")
    {
        return result_of<put_result>(
            [&](auto done) { store.compare_and_swap("a/b", 3, value, "l 1", done); });
    }
    get_result read(http_key_value_store& store)
    {
        return result_of<get_result>([&](auto done) { store.get("a/b", done); });
    }
};

} // namespace

// Guards against reporting a write as refused although it may have taken effect, and the reverse.
TEST_CASE("compare_and_swap distinguishes done, conflict, refused and unknown")
{
    struct row {
        const char* name;
        scripted_step step;
        int status;
        const char* body;
        put_status expected;
        std::uint64_t revision;
    };
    const row rows[] = {
        {"done", scripted_step::answer, 200, R"({"revision":8})", put_status::done, 8},
        {"conflict", scripted_step::answer, 409, R"({"revision":9})", put_status::conflict, 9},
        {"rate limit", scripted_step::answer, 429, "", put_status::refused, 0},
        {"too large", scripted_step::answer, 413, "", put_status::refused, 0},
        {"outage", scripted_step::answer, 503, "", put_status::refused, 0},
        {"other error", scripted_step::answer, 500, "", put_status::unknown, 0},
        {"no revision", scripted_step::answer, 200, "{}", put_status::unknown, 0},
        {"not an object", scripted_step::answer, 200, "[1]", put_status::unknown, 0},
        {"connection closed", scripted_step::close_connection, 200, "", put_status::unknown, 0},
        {"no response", scripted_step::never_respond, 200, "", put_status::unknown, 0},
        {"body truncated", scripted_step::truncate_body, 200, "", put_status::unknown, 0},
        {"refusal truncated", scripted_step::truncate_body, 429, "", put_status::refused, 0},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        fixture f;
        f.first.step = it.step;
        f.first.response = json_response(it.status, it.body);
        const auto store =
            f.make_store({f.first.address(), f.second.address()}, test_limits(it.step));
        const auto result = f.write(*store);
        CHECK(result.status == it.expected);
        CHECK(result.revision == it.revision);
        REQUIRE(f.first.requests.size() == 1);
        CHECK(f.first.requests[0].method == "PUT");
        CHECK(f.first.requests[0].target == "/v1/kv/a%2Fb?expect=3&lease=l%201");
        CHECK(f.first.requests[0].body == "x");
        // A write must not fail over: the second address would execute it again.
        CHECK(f.second.requests.empty());
        CHECK(store->counts().puts == 1);
        CHECK(store->counts().lost_answers == (it.expected == put_status::unknown ? 1 : 0));
    }
}

TEST_CASE("a write to a closed address is refused, and the next one uses another address")
{
    fixture f;
    const auto store = f.make_store({closed_address(), f.second.address()});
    CHECK(f.write(*store).status == put_status::refused);
    CHECK(f.second.requests.empty());
    CHECK(f.write(*store).status == put_status::done);
}

TEST_CASE("reads fail over after a lost response or an outage, but not after a rate limit")
{
    struct row {
        const char* name;
        scripted_step step;
        int status;
        get_status expected;
        std::size_t second_calls;
    };
    const row rows[] = {
        {"answer", scripted_step::answer, 200, get_status::found, 0},
        {"missing", scripted_step::answer, 404, get_status::missing, 0},
        {"rate limit", scripted_step::answer, 429, get_status::failed, 0},
        {"outage", scripted_step::answer, 503, get_status::found, 1},
        {"connection closed", scripted_step::close_connection, 200, get_status::found, 1},
        {"no response", scripted_step::never_respond, 200, get_status::found, 1},
        {"body truncated", scripted_step::truncate_body, 200, get_status::found, 1},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        fixture f;
        f.first.step = it.step;
        f.first.response.status = it.status;
        const auto store =
            f.make_store({f.first.address(), f.second.address()}, test_limits(it.step));
        const auto result = f.read(*store);
        CHECK(result.status == it.expected);
        CHECK(f.second.requests.size() == it.second_calls);
        CHECK(store->counts().gets == 1 + it.second_calls);
        if (it.expected == get_status::found) {
            CHECK(result.value == "v");
            CHECK(result.revision == 7);
        }
    }
}

TEST_CASE("a read fails once with the cause if all addresses fail")
{
    fixture f;
    f.first.response.status = 503;
    const auto store = f.make_store({closed_address(), f.first.address()});
    const auto result = f.read(*store);
    CHECK(result.status == get_status::failed);
    CHECK(result.message == "the service answered 503");
    CHECK(store->counts().gets == 2);
}

TEST_CASE("a watch reports unchanged for each form of response without a new revision")
{
    struct row {
        int status;
        std::uint64_t after;
        get_status expected;
    };
    const row rows[] = {
        {200, 6, get_status::found},     {200, 7, get_status::unchanged},
        {304, 7, get_status::unchanged}, {204, 7, get_status::unchanged},
        {404, 0, get_status::unchanged}, {404, 7, get_status::missing},
    };
    for (const auto& it : rows) {
        fixture f;
        if (it.status != 200) {
            f.first.response = {it.status, {}, {}};
        }
        const auto store = f.make_store({f.first.address()});
        const auto result =
            f.result_of<get_result>([&](auto done) { store->watch("k", it.after, 1500ms, done); });
        CHECK(result.status == it.expected);
        CHECK(f.first.requests[0].target ==
              "/v1/kv/k?after=" + std::to_string(it.after) + "&wait=2");
        CHECK(store->counts().watches == 1);
        CHECK(store->pending_watches() == 0);
    }
}

TEST_CASE("lease calls distinguish a lost lease from an unreachable store")
{
    struct row {
        scripted_step step;
        int status;
        bool is_granted;
        bool is_lost;
    };
    const row rows[] = {
        {scripted_step::answer, 200, true, false},
        {scripted_step::answer, 404, false, true},
        {scripted_step::answer, 503, false, false},
        {scripted_step::close_connection, 200, false, false},
    };
    for (const auto& it : rows) {
        fixture f;
        f.first.step = it.step;
        f.first.response = json_response(it.status, R"({"lease":"L"})");
        const auto store = f.make_store({f.first.address()});
        const auto renewed =
            f.result_of<lease_result>([&](auto done) { store->renew_lease("L", done); });
        CHECK(renewed.is_granted == it.is_granted);
        CHECK(renewed.is_lost == it.is_lost);
        const auto granted =
            f.result_of<lease_result>([&](auto done) { store->grant_lease(1500ms, done); });
        CHECK(granted.is_granted == it.is_granted);
        CHECK(f.first.requests[0].target == "/v1/leases/L/renew");
        CHECK(f.first.requests[1].target == "/v1/leases?ttl_ms=1500");
        CHECK(store->counts().lease_calls == 2);
    }
}

TEST_CASE("calls above a limit are refused without being sent")
{
    fixture f;
    auto limits = test_limits();
    limits.calls_per_second = 1;
    limits.burst = 2;
    const auto store = f.make_store({f.first.address()}, limits);
    CHECK(f.write(*store).status == put_status::done);
    CHECK(f.read(*store).status == get_status::found);
    CHECK(f.write(*store).status == put_status::refused);
    CHECK(f.read(*store).status == get_status::failed);
    CHECK(store->counts().throttled == 2);
    CHECK(f.first.requests.size() == 2);
    f.clock.advance(1s);
    CHECK(f.read(*store).status == get_status::found);
    const std::string too_large(max_store_value + 1, 'x');
    f.clock.advance(1s);
    CHECK(f.write(*store, too_large).status == put_status::refused);
    CHECK(f.first.requests.size() == 3);
}

TEST_CASE("a call above the limit of calls in flight is refused until an earlier call ends")
{
    fixture f;
    auto limits = test_limits(scripted_step::never_respond);
    limits.max_in_flight = 1;
    f.first.step = scripted_step::never_respond;
    const auto store = f.make_store({f.first.address()}, limits);
    store->get("slow", [](const get_result&) {});
    CHECK(store->in_flight() == 1);
    CHECK(f.read(*store).message == "a limit of this client holds the call back");
    f.io.restart();
    while (store->in_flight() != 0) {
        f.io.run_one();
    }
    f.first.step = scripted_step::answer;
    CHECK(f.read(*store).status == get_status::found);
}

TEST_CASE("handlers do not run after the store is destroyed, whether their call was sent or not")
{
    for (const bool is_sent : {false, true}) {
        CAPTURE(is_sent);
        fixture f;
        f.first.step = scripted_step::never_respond;
        auto store = f.make_store({f.first.address()}, test_limits(scripted_step::never_respond));
        int calls = 0;
        store->get("k", [&](const get_result&) { ++calls; });
        store->compare_and_swap("k", 0, "v", {}, [&](const put_result&) { ++calls; });
        while (is_sent && f.first.requests.size() < 2) {
            f.io.run_one();
        }
        store.reset();
        // Longer than the read timeout, so that both calls end.
        f.io.run_for(400ms);
        CHECK(f.first.requests.size() == (is_sent ? 2 : 0));
        CHECK(calls == 0);
    }
}
