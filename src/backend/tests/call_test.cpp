#include "backend/dispatch.h"
#include "http/server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::backend;
namespace asio = boost::asio;

namespace {

enum class fault { none, abort_before_answer, abort_in_body, no_answer, refuse, error };

asio::awaitable<void> answer(http_exchange& exchange, fault injected)
{
    http_response response = json_response(200, "{\"ok\":1}");
    const std::vector<http_header> headers;
    switch (injected) {
    case fault::abort_before_answer:
        exchange.abort();
        co_return;
    case fault::abort_in_body:
        co_await exchange.start_stream(200, headers);
        co_await exchange.write_chunk("{\"ok\"");
        exchange.abort();
        co_return;
    case fault::no_answer:
        co_await exchange.wait_closed();
        exchange.abort();
        co_return;
    case fault::refuse:
        response.status = 503;
        response.headers.push_back({"X-Not-Admitted", "true"});
        response.headers.push_back({"Retry-After", "2"});
        break;
    case fault::error:
        response.status = 500;
        break;
    case fault::none:
        break;
    }
    co_await exchange.reply(std::move(response));
}

} // namespace

TEST_CASE("dispatch_call sends a request once and reports the right verdict for each fault")
{
    struct row {
        const char* name;
        fault injected;
        dispatch_end end;
        verdict run;
        int status;
    };
    const row rows[] = {
        {"answered", fault::none, dispatch_end::completed, verdict::ran, 200},
        {"aborted before the answer", fault::abort_before_answer, dispatch_end::broken,
         verdict::may_have_run, 0},
        {"aborted in the body", fault::abort_in_body, dispatch_end::broken, verdict::may_have_run,
         200},
        {"no answer", fault::no_answer, dispatch_end::broken, verdict::may_have_run, 0},
        {"refused before admission", fault::refuse, dispatch_end::not_admitted, verdict::not_run,
         503},
        {"error of the service", fault::error, dispatch_end::completed, verdict::ran, 500},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        asio::io_context io;
        int calls = 0;
        http_server server{io, {"127.0.0.1", 0}, {}, [&](http_exchange& exchange) {
                               ++calls;
                               return answer(exchange, it.injected);
                           }};
        dispatch_outcome outcome;
        const auto run = [&]() -> asio::awaitable<void> {
            const target to{"p1", {"127.0.0.1", server.port()}};
            const http_request request{"POST", "/jobs", {}, "x"};
            const dispatch_limits limits;
            outcome = co_await dispatch_call(to, request, limits, std::chrono::milliseconds{100});
            io.stop();
        };
        asio::co_spawn(io, run(), asio::detached);
        io.run();
        CHECK(outcome.end == it.end);
        CHECK(outcome.run == it.run);
        if (it.end != dispatch_end::broken) {
            CHECK(outcome.response.status == it.status);
        }
        CHECK(calls == 1);
        CHECK(outcome.retry_after.count() == (it.injected == fault::refuse ? 2000 : 0));
    }
}
