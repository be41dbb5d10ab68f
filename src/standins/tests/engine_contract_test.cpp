#include "standins/engine_service.h"
#include "standins/internal/chat.h"
#include "standins/tests/service_fixture.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::standins;

namespace {

using fixture = service_fixture<engine_service, engine_options>;

engine_options fast_engine()
{
    engine_options options;
    options.speed.decode_rate = 10'000;
    options.speed.prefill_rate = 1'000'000;
    return options;
}

std::string chat_body(const std::string& content, int max_tokens, bool is_stream)
{
    return R"({"model":"m","max_tokens":)" + std::to_string(max_tokens) + R"(,"stream":)" +
           (is_stream ? "true" : "false") + R"(,"messages":[{"role":"user","content":")" + content +
           R"("}]})";
}

http_request chat_call(const std::string& id, const std::string& content, int max_tokens,
                       bool is_stream)
{
    return {"POST",
            "/v1/chat/completions",
            {{"X-Request-Id", id}},
            chat_body(content, max_tokens, is_stream)};
}

std::string expected_text(const std::string& content, int max_tokens)
{
    return answer_text(content_digest({"m", content, max_tokens, false}), max_tokens);
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != text.npos;
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t n = 0;
    for (auto at = text.find(part); at != text.npos; at = text.find(part, at + 1)) {
        ++n;
    }
    return n;
}

} // namespace

TEST_CASE("concurrent callers each get the answer to their own request, plain and streamed")
{
    fixture f{fast_engine()};
    std::vector<http_request> requests;
    for (int i = 0; i < 8; ++i) {
        const auto n = std::to_string(i);
        requests.push_back(chat_call("r" + n, "question " + n, 5 + i, i % 2 == 1));
    }
    const auto results = f.call_all(requests);
    for (int i = 0; i < 8; ++i) {
        const auto& body = results[static_cast<std::size_t>(i)].response.body;
        const auto text = expected_text("question " + std::to_string(i), 5 + i);
        if (i % 2 == 0) {
            CHECK(contains(body, R"("content":")" + text + '"'));
            continue;
        }
        CHECK(count_of(body, "\nid: ") + 1 == static_cast<std::size_t>(5 + i + 2));
        CHECK(contains(body, R"("completion_tokens":)" + std::to_string(5 + i)));
        CHECK(body.ends_with("data: [DONE]\n\n"));
        CHECK(contains(body, text.substr(0, 9)));
    }
}

TEST_CASE("a resume sends exactly the events after the given id")
{
    fixture f{fast_engine()};
    const auto whole = f.call(chat_call("r", "hello", 4, true)).response.body;
    struct resume_case {
        std::string after;
        std::string first_event; ///< empty: nothing is left
    };
    for (const auto& it : {resume_case{"0", "id: 1\n"}, resume_case{"3", "id: 4\n"},
                           resume_case{"4", "id: 5\n"}, resume_case{"5", "id: 6\n"}}) {
        const auto rest = f.call("GET", "/v1/streams/r?after=" + it.after).response.body;
        CHECK(rest.substr(0, it.first_event.size()) == it.first_event);
        CHECK(whole.ends_with(rest));
    }
    CHECK(f.call("GET", "/v1/streams/unknown?after=0").response.status == 404);
    CHECK(contains(f.call("GET", "/standin/journal").response.body,
                   R"("dispatched":1,"ran":1,"completed":1,"refused":0,"resumed":4)"));
}

TEST_CASE("a stream continues after its connection closes, so that a resume can complete it")
{
    fixture f{fast_engine()};
    f.inject(R"({"kind":"cut-stream","after_events":2,"count":1})");
    const auto truncated = f.call(chat_call("r", "hello", 6, true));
    CHECK(truncated.progress == http_progress::answered);
    CHECK(count_of(truncated.response.body, "data: ") == 2);
    const auto rest = f.call("GET", "/v1/streams/r?after=2").response.body;
    CHECK(rest.substr(0, 6) == "id: 3\n");
    CHECK(rest.ends_with("data: [DONE]\n\n"));
}

TEST_CASE("a repeated request with the same id counts as a second dispatch")
{
    fixture f{fast_engine()};
    f.call(chat_call("r", "hello", 2, false));
    f.call(chat_call("r", "hello", 2, false));
    CHECK(contains(f.call("GET", "/standin/journal").response.body,
                   R"("dispatched":2,"ran":2,"completed":2)"));
}

TEST_CASE("a slow stream sends heartbeats, and cancelling ends it")
{
    auto options = fast_engine();
    options.speed.decode_rate = 0.001;
    options.heartbeat = std::chrono::milliseconds{10};
    fixture f{options};
    const auto read_first = [&]() -> boost::asio::awaitable<void> {
        const ip_endpoint address{"127.0.0.1", f.service.port()};
        http_connection connection{f.io.get_executor()};
        const auto request = chat_call("r", "hello", 6, true);
        co_await connection.connect(address, f.timeouts.connect);
        co_await connection.write_request(request, f.timeouts.write);
        http_response header;
        co_await connection.read_header(header, f.timeouts.read);
        std::string body;
        bool is_done = false;
        std::string failure;
        while (body.empty() && failure.empty()) {
            failure = co_await connection.read_some(body, is_done, f.timeouts.read);
        }
        CHECK(body.substr(0, 14) == ": keep-alive\n\n");
        f.io.stop();
    };
    boost::asio::co_spawn(f.io, read_first(), boost::asio::detached);
    f.io.restart();
    f.io.run();
    CHECK(f.call("DELETE", "/v1/streams/r").response.body == R"({"cancelled":true})");
    CHECK(f.call("GET", "/v1/streams/r?after=0").response.status == 404);
    CHECK(f.call("DELETE", "/v1/streams/unknown").response.status == 404);
}

TEST_CASE("refused requests do not run, and only a 503 reports that the request was not admitted")
{
    struct refusal_case {
        std::string fault, body;
        int status;
        std::string not_admitted;
    };
    auto options = fast_engine();
    options.models = {"m"};
    const std::string other_model = R"({"model":"x","messages":[{"content":"a"}]})";
    const std::string refuse = R"({"kind":"refuse-admission","count":1})";
    for (const auto& it :
         {refusal_case{refuse, chat_body("a", 1, true), 503, "true"},
          refusal_case{"", other_model, 503, "true"},
          refusal_case{"", R"({"messages":[]})", 400, ""},
          refusal_case{"", chat_body("a", 0, true), 400, ""}, refusal_case{"", "{", 400, ""}}) {
        fixture f{options};
        if (!it.fault.empty()) {
            f.inject(it.fault);
        }
        const auto result = f.call("POST", "/v1/chat/completions", it.body, "r");
        CHECK(result.response.status == it.status);
        CHECK(find_header(result.response.headers, "X-Not-Admitted") == it.not_admitted);
        CHECK(contains(f.call("GET", "/standin/journal").response.body,
                       R"("dispatched":1,"ran":0,"completed":0,"refused":1)"));
    }
}

// Guards against placement checks that pass only because the journal is incomplete.
TEST_CASE("the journal records each order and how many requests an unload interrupts")
{
    auto options = fast_engine();
    options.models = {"m"};
    options.speed.decode_rate = 20;
    fixture f{options};
    const auto order = [](const std::string& kind, int fencing) {
        return http_request{"POST",
                            "/v1/orders",
                            {},
                            R"({"kind":")" + kind + R"(","target":"m","fencing":)" +
                                std::to_string(fencing) + "}"};
    };
    f.call(order("unload-model", 7));
    f.call(order("load-model", 7));
    f.call(order("role", 6));
    f.call_all({chat_call("r1", "a", 8, false), order("unload-model", 7)});
    const auto body = f.call("GET", "/standin/journal").response.body;
    CHECK(contains(
        body, R"("kind":"unload-model","target":"m","fencing":7,"taken":true,"interrupted":0)"));
    CHECK(contains(body, R"("kind":"role","target":"m","fencing":6,"taken":false)"));
    CHECK(contains(
        body, R"("kind":"unload-model","target":"m","fencing":7,"taken":true,"interrupted":1)"));
    CHECK(contains(f.call("GET", "/v1/load").response.body, R"("models":[])"));
}

TEST_CASE("orders with an outdated fencing token are refused unless the engine ignores it")
{
    for (const bool checks : {true, false}) {
        auto options = fast_engine();
        options.checks_fencing = checks;
        fixture f{options};
        const auto send = [&f](const std::string& fencing) {
            return f
                .call("POST", "/v1/orders",
                      R"({"kind":"load-model","target":"m)" + fencing + R"(","fencing":)" +
                          fencing + "}")
                .response.status;
        };
        CHECK(send("7") == 200);
        CHECK(send("7") == 200);
        CHECK(send("6") == (checks ? 409 : 200));
        CHECK(send("8") == 200);
        CHECK(contains(f.call("GET", "/v1/load").response.body, R"("m8")"));
    }
}

TEST_CASE("KV blocks copied to another engine save prefill there")
{
    const std::string prompt(64, 'p');
    fixture from{fast_engine()};
    fixture to{fast_engine()};
    from.call(chat_call("r", prompt, 1, false));
    const auto block = block_text(hash_blocks(prompt).front());
    const auto content = from.call("GET", "/v1/kv/" + block).response;
    CHECK(content.status == 200);
    CHECK(to.call("GET", "/v1/kv/" + block).response.status == 404);
    CHECK(to.call("PUT", "/v1/kv/" + block, "other content").response.status == 400);
    CHECK(to.call("PUT", "/v1/kv/" + block, content.body).response.status == 200);
    CHECK(contains(to.call("GET", "/v1/cache/events?after=0").response.body, block));
    CHECK(
        contains(to.call(chat_call("r", prompt, 1, false)).response.body, R"("cached_tokens":16)"));
}

TEST_CASE("the load report shows the leaving state immediately")
{
    fixture f{fast_engine()};
    CHECK(contains(f.call("GET", "/v1/load").response.body, R"("leaving":false)"));
    f.call("POST", "/standin/settings", R"({"leaving":true})");
    CHECK(contains(f.call("GET", "/v1/load").response.body, R"("leaving":true)"));
}
