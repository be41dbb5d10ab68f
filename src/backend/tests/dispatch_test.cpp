#include "backend/dispatch.h"

#include "http/server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <functional>

using namespace almondline;
using namespace almondline::backend;
namespace asio = boost::asio;

namespace {

/// How the scripted engine handles a connection.
enum class behaviour {
    whole,
    abort_before_header,
    abort_after_two,
    stall_after_two,
    skip_one,
    repeat_last,
    refuse_admission,
    fail,
    unknown_stream
};

struct scripted_engine {
    std::vector<behaviour>
        script; ///< one entry per connection; the last one is used for all further ones
    std::size_t calls = 0;
    int posts = 0;
    asio::io_context io;
    http_server server{io, {"127.0.0.1", 0}, {}, [this](http_exchange& e) { return serve(e); }};

    asio::awaitable<void> send_events(http_exchange& exchange, int from, int to)
    {
        for (int i = from; i <= to; ++i) {
            const std::string chunk =
                R"({"choices":[{"index":0,"delta":{"content":"t)" + std::to_string(i) + R"("}}]})";
            const stream_event event{static_cast<std::uint64_t>(i), i == 4 ? "[DONE]" : chunk};
            co_await exchange.write_chunk(format_event(event));
        }
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        const auto step = script[std::min(calls++, script.size() - 1)];
        posts += exchange.request().method == "POST" ? 1 : 0;
        const auto after_text = query_parameter(exchange.request().target, "after");
        const int after = after_text.empty() ? 0 : std::stoi(after_text);
        std::vector<http_header> headers;
        if (step == behaviour::refuse_admission) {
            headers.push_back({"X-Not-Admitted", "true"});
            headers.push_back({"Retry-After", "3"});
        }
        if (step == behaviour::refuse_admission || step == behaviour::fail ||
            step == behaviour::unknown_stream) {
            const int status = step == behaviour::unknown_stream ? 404 : 503;
            const http_response response{status, headers, "{}"};
            co_await exchange.reply(response);
            co_return;
        }
        if (step == behaviour::abort_before_header) {
            exchange.abort();
            co_return;
        }
        co_await exchange.start_stream(200, headers);
        if (step == behaviour::whole) {
            co_await send_events(exchange, after + 1, 4);
            co_await exchange.end_stream();
            co_return;
        }
        if (step == behaviour::skip_one) {
            co_await send_events(exchange, after + 2, 4);
            co_return;
        }
        if (step == behaviour::repeat_last) {
            co_await send_events(exchange, std::max(after, 1), 4);
            co_await exchange.end_stream();
            co_return;
        }
        co_await send_events(exchange, after + 1, 2);
        if (step == behaviour::stall_after_two) {
            co_await exchange.wait_closed();
        }
        exchange.abort();
    }
};

struct collecting_sink final : event_sink {
    std::string text;
    asio::awaitable<bool> on_event(const stream_event& event) override
    {
        text += std::to_string(event.id) + " ";
        co_return true;
    }
    asio::awaitable<bool> on_heartbeat() override { co_return true; }
};

dispatch_limits quick_limits()
{
    dispatch_limits limits;
    limits.silence = std::chrono::milliseconds{60};
    limits.resume_window = std::chrono::milliseconds{300};
    return limits;
}

} // namespace

TEST_CASE("dispatch_completion sends the request once and reports the right verdict for each fault")
{
    struct row {
        const char* name;
        std::vector<behaviour> script;
        dispatch_end end;
        verdict run;
        const char* events;
    };
    using b = behaviour;
    const row rows[] = {
        {"complete stream", {b::whole}, dispatch_end::completed, verdict::ran, "1 2 3 4 "},
        {"aborted, then resumed",
         {b::abort_after_two, b::whole},
         dispatch_end::completed,
         verdict::ran,
         "1 2 3 4 "},
        {"stalled, then resumed",
         {b::stall_after_two, b::whole},
         dispatch_end::completed,
         verdict::ran,
         "1 2 3 4 "},
        {"aborted before the header, then resumed",
         {b::abort_before_header, b::whole},
         dispatch_end::completed,
         verdict::ran,
         "1 2 3 4 "},
        {"resumed stream repeats an event",
         {b::abort_after_two, b::repeat_last},
         dispatch_end::completed,
         verdict::ran,
         "1 2 3 4 "},
        {"an event is missing, then resumed",
         {b::skip_one, b::whole},
         dispatch_end::completed,
         verdict::ran,
         "1 2 3 4 "},
        {"aborted before the header, then unknown to the engine",
         {b::abort_before_header, b::unknown_stream},
         dispatch_end::broken,
         verdict::may_have_run,
         ""},
        {"aborted and never resumed",
         {b::abort_after_two, b::abort_before_header},
         dispatch_end::broken,
         verdict::may_have_run,
         "1 2 "},
        {"refused before admission",
         {b::refuse_admission},
         dispatch_end::not_admitted,
         verdict::not_run,
         ""},
        {"error after admission", {b::fail}, dispatch_end::rejected, verdict::may_have_run, ""},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        scripted_engine engine;
        engine.script = it.script;
        const system_clock_source clock;
        collecting_sink sink;
        dispatch_outcome outcome;
        const auto run = [&]() -> asio::awaitable<void> {
            const target to{"e1", {"127.0.0.1", engine.server.port()}};
            http_request request;
            request.method = "POST";
            request.body = "{}";
            outcome = co_await dispatch_completion(to, "r1", request, quick_limits(), clock, sink);
            engine.io.stop();
        };
        asio::co_spawn(engine.io, run(), asio::detached);
        engine.io.run();
        CHECK(outcome.end == it.end);
        CHECK(outcome.run == it.run);
        CHECK(sink.text == it.events);
        CHECK(engine.posts == 1);
    }
}

TEST_CASE("dispatch_completion reports not_run when the connection is refused")
{
    asio::io_context io;
    std::uint16_t port = 0;
    {
        const http_server closed{
            io, {"127.0.0.1", 0}, {}, [](http_exchange&) -> asio::awaitable<void> { co_return; }};
        port = closed.port();
    }
    const system_clock_source clock;
    collecting_sink sink;
    dispatch_outcome outcome;
    const auto run = [&]() -> asio::awaitable<void> {
        const target to{"e1", {"127.0.0.1", port}};
        const http_request request;
        outcome = co_await dispatch_completion(to, "r1", request, quick_limits(), clock, sink);
    };
    io.poll();
    asio::co_spawn(io, run(), asio::detached);
    io.run();
    CHECK(outcome.end == dispatch_end::not_dispatched);
    CHECK(outcome.run == verdict::not_run);
}
