#include "entry/caller_api.h"

#include "backend/event_stream.h"
#include "entry/tests/fixture.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::entry;
namespace asio = boost::asio;

namespace {

/// Answers like an engine: with three events, or with the injected fault.
struct fake_engine {
    enum class fault { none, refuse_admission, error, lose_request, bad_request };
    fault injected = fault::none;
    int posts = 0;
    http_server server;

    explicit fake_engine(asio::io_context& io)
        : server{io, {"127.0.0.1", 0}, {}, [this](http_exchange& e) { return serve(e); }}
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        const bool is_post = exchange.request().method == "POST";
        posts += is_post ? 1 : 0;
        http_response response{503, {}, "{}"};
        if (injected == fault::refuse_admission) {
            response.headers.push_back({"X-Not-Admitted", "true"});
            response.headers.push_back({"Retry-After", "7"});
            co_await exchange.reply(response);
            co_return;
        }
        if (injected == fault::error || injected == fault::bad_request) {
            response.status = injected == fault::error ? 500 : 422;
            co_await exchange.reply(response);
            co_return;
        }
        if (injected == fault::lose_request) {
            response.status = 404;
            if (is_post) {
                exchange.abort();
            }
            else {
                co_await exchange.reply(response);
            }
            co_return;
        }
        const std::vector<http_header> headers;
        co_await exchange.start_stream(200, headers);
        const backend::stream_event events[] = {
            {1, R"({"id":"a","choices":[{"index":0,"delta":{"content":"hi"}}]})"},
            {2, R"({"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":1}})"},
            {3, "[DONE]"}};
        for (const auto& it : events) {
            co_await exchange.write_chunk(backend::format_event(it));
        }
        co_await exchange.end_stream();
    }
};

std::string unused_address()
{
    asio::io_context io;
    const http_server closed{io, {"127.0.0.1", 0}, {}, {}};
    return "127.0.0.1:" + std::to_string(closed.port());
}

std::string header_of(const http_result& result, std::string_view name)
{
    return std::string{find_header(result.response.headers, name)};
}

} // namespace

TEST_CASE("each dispatch outcome is answered with the right status, verdict and Retry-After")
{
    using engine_fault = fake_engine::fault;
    struct row {
        const char* name;
        engine_fault fault;
        int status;
        const char* verdict;
        const char* retry_after;
        granting::release_outcome released;
    };
    const row rows[] = {
        {"answer", engine_fault::none, 200, "ran", "", granting::release_outcome::finished},
        {"refused before admission", engine_fault::refuse_admission, 503, "not-run", "7",
         granting::release_outcome::failed},
        {"error after admission", engine_fault::error, 500, "may-have-run", "",
         granting::release_outcome::failed},
        {"client error", engine_fault::bad_request, 422, "may-have-run", "",
         granting::release_outcome::cancelled},
        {"request lost by the engine", engine_fault::lose_request, 502, "may-have-run", "",
         granting::release_outcome::failed},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        entry_fixture f;
        fake_engine engine{f.io};
        engine.injected = it.fault;
        f.credits.addresses = {engine.address()};
        const auto result =
            f.call(make_call("POST", "/v1/chat/completions", completion_body, "large-key"));
        CHECK(result.response.status == it.status);
        CHECK(header_of(result, "X-Verdict") == it.verdict);
        CHECK(header_of(result, "Retry-After") == it.retry_after);
        CHECK(engine.posts == 1);
        REQUIRE(f.credits.releases.size() == 1);
        CHECK(f.credits.releases[0].outcome == it.released);
    }
}

TEST_CASE("a request is retried on another backend server only if no byte of it was written")
{
    entry_fixture f;
    fake_engine engine{f.io};
    f.credits.addresses = {unused_address(), engine.address()};
    const auto result =
        f.call(make_call("POST", "/v1/chat/completions", completion_body, "large-key"));
    CHECK(result.response.status == 200);
    CHECK(engine.posts == 1);
    REQUIRE(f.credits.credit_requests.size() == 2);
    CHECK(f.credits.credit_requests[1].excluded == std::vector<std::string>{"b0"});
}

TEST_CASE("the retry budget limits retries in an outage, and refusals carry the verdict not-run")
{
    entry_fixture f;
    f.credits.addresses = {unused_address()};
    int attempts = 0;
    for (int i = 0; i < 20; ++i) {
        const auto result =
            f.call(make_call("POST", "/v1/chat/completions", completion_body, "large-key"));
        CHECK(result.response.status == 503);
        CHECK(header_of(result, "X-Verdict") == "not-run");
    }
    attempts = static_cast<int>(f.credits.credit_requests.size());
    // 20 first attempts, the initial 5 retries and 10 % of the first attempts.
    CHECK(attempts <= 27);
}

TEST_CASE("a shed request is refused with its verdict and retry delay")
{
    entry_fixture f;
    const auto result =
        f.call(make_call("POST", "/v1/chat/completions", completion_body, "large-key"));
    CHECK(result.response.status == 503);
    CHECK(header_of(result, "Retry-After") == "2");
    CHECK(result.response.body.find(R"("code":"shed")") != std::string::npos);
    CHECK(result.response.body.find(R"("retry_after_ms":1500)") != std::string::npos);
    CHECK(f.metrics.value("almondline_refused_total",
                          {{"reason", "shed"}, {"verdict", "not-run"}}) == 1);
}

TEST_CASE("no credit is requested without authentication, while draining or without a manifest")
{
    entry_fixture f;
    const auto post = [&](const std::string& key) {
        return f.call(make_call("POST", "/v1/chat/completions", completion_body, key));
    };
    CHECK(post("").response.status == 401);
    CHECK(header_of(post(""), "X-Request-Id").size() == 32);
    CHECK(post("wrong").response.status == 401);
    f.is_draining = true;
    const auto draining = post("large-key");
    CHECK(draining.response.status == 503);
    CHECK(header_of(draining, "X-Verdict") == "not-run");
    f.is_draining = false;
    f.manifests.current = nullptr;
    CHECK(post("large-key").response.status == 503);
    CHECK(f.call(make_call("GET", "/readyz", "", "")).response.status == 503);
    CHECK(f.credits.credit_requests.empty());
}

TEST_CASE("a stream is forwarded event by event up to and including [DONE]")
{
    entry_fixture f;
    fake_engine engine{f.io};
    f.credits.addresses = {engine.address()};
    const auto result = f.call(make_call(
        "POST", "/v1/chat/completions",
        R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})", "large-key"));
    CHECK(header_of(result, "Content-Type") == "text/event-stream");
    CHECK(result.response.body.find("id: 1\ndata: ") == 0);
    CHECK(result.response.body.rfind("data: [DONE]\n\n") == result.response.body.size() - 14);
}

TEST_CASE("requests with an idempotency key are passed to the keyed runner")
{
    entry_fixture f;
    const auto result = f.call(make_call("POST", "/v1/chat/completions", completion_body,
                                         "large-key", {{"Idempotency-Key", "k1"}}));
    CHECK(result.response.body == "k1");
    CHECK(f.keyed.runs == 1);
    CHECK(f.call(make_call("POST", "/v1/identities", "", "large-key")).response.body ==
          "key-of-large");
    CHECK(f.call(make_call("POST", "/v1/identities", "", "")).response.status == 401);
}

TEST_CASE("the address list includes its lifetime")
{
    entry_fixture f;
    CHECK(
        f.call(make_call("GET", "/v1/addresses", "", "")).response.body ==
        R"({"addresses":[{"address":"10.0.0.1:80","failure_domain":"fd1"}],"lifetime_seconds":10})");
}
