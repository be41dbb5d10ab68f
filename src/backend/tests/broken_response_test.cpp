#include "backend/dispatch.h"
#include "http/tests/raw_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

using namespace almondline;
using namespace almondline::backend;
namespace asio = boost::asio;

namespace {

const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
const std::string stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                           "id: 1\ndata: [DONE]\n\n";
const std::string error_head = "HTTP/1.1 500 Error\r\nContent-Length: 5\r\n";

struct ignoring_sink final : event_sink {
    asio::awaitable<bool> on_event(const stream_event&) override { co_return true; }
    asio::awaitable<bool> on_heartbeat() override { co_return true; }
};

/// Dispatches a completion to an engine that answers with these bytes and closes the connection.
dispatch_outcome dispatch_to(const std::string& bytes)
{
    raw_server engine;
    std::thread thread{[&] { engine.answer(bytes, false); }};
    dispatch_limits limits;
    limits.silence = std::chrono::milliseconds{500};
    limits.resume_window = std::chrono::milliseconds{1};
    limits.max_body = 1024;
    const system_clock_source clock;
    ignoring_sink sink;
    dispatch_outcome outcome;
    asio::io_context io;
    const auto run = [&]() -> asio::awaitable<void> {
        const target to{"e1", engine.address()};
        const http_request request{"POST", "/v1/chat/completions", {}, "{}"};
        outcome = co_await dispatch_completion(to, "r1", request, limits, clock, sink);
    };
    asio::co_spawn(io, run(), asio::detached);
    io.run();
    thread.join();
    return outcome;
}

} // namespace

// The caller got the interim response as the answer.
TEST_CASE("dispatch_completion skips interim responses")
{
    const auto whole = dispatch_to(interim + interim + stream);
    CHECK(whole.end == dispatch_end::completed);
    CHECK(whole.events == 1);
    const auto error = dispatch_to(interim + error_head + "\r\nhello");
    CHECK(error.end == dispatch_end::rejected);
    CHECK(error.response.status == 500);
    CHECK(error.response.body == "hello");
    CHECK(dispatch_to(interim).end == dispatch_end::broken);
}

// The caller got the part of the body as a complete response.
TEST_CASE("dispatch_completion does not take a part of an error response for the whole")
{
    struct row {
        std::string name;
        std::string bytes;
        dispatch_end end;
        verdict run;
    };
    const std::string chunked = "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string long_body(2'000, 'x'); // over the limit of dispatch_to()
    const std::string long_error = "HTTP/1.1 500 Error\r\nContent-Length: 2000\r\n\r\n" + long_body;
    const std::string not_admitted = error_head + "X-Not-Admitted: true\r\n";
    const row rows[] = {
        {"whole", error_head + "\r\nhello", dispatch_end::rejected, verdict::may_have_run},
        {"no body", error_head + "\r\n", dispatch_end::broken, verdict::may_have_run},
        {"part of a length", error_head + "\r\nhel", dispatch_end::broken, verdict::may_have_run},
        {"part of the chunks", chunked + "3\r\nhel\r\n", dispatch_end::broken,
         verdict::may_have_run},
        {"over the limit", long_error, dispatch_end::broken, verdict::may_have_run},
        {"folded header line", "HTTP/1.1 500 Error\r\nX-Id: 7\r\n Content-Length: 5\r\n\r\nhello",
         dispatch_end::broken, verdict::may_have_run},
        {"status 000", "HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nhello", dispatch_end::broken,
         verdict::may_have_run},
        // The whole header says that the request did not run.
        {"part of a refusal", not_admitted + "\r\nhel", dispatch_end::not_admitted,
         verdict::not_run},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        const auto outcome = dispatch_to(it.bytes);
        CHECK(outcome.end == it.end);
        CHECK(outcome.run == it.run);
        CHECK(!outcome.message.empty());
        if (it.end == dispatch_end::broken) {
            CHECK(outcome.response.body.empty());
        }
    }
}
