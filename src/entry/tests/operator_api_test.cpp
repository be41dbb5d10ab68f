#include "entry/operator_api.h"

#include "common/hash.h"
#include "common/log.h"
#include "http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::entry;
namespace asio = boost::asio;

namespace {

struct operator_fixture {
    asio::io_context io;
    int drains = 0;
    std::string explained;
    operator_api api;
    http_server server{io, {"127.0.0.1", 0}, {}, [this](http_exchange& e) { return serve(e); }};

    explicit operator_fixture(const std::string& key_hash) : api{key_hash, functions()} {}

    operator_functions functions()
    {
        operator_functions out;
        out.status = [](const operator_functions::deliver& done) { done(R"({"instance":"e1"})"); };
        out.explain = [this](const std::string& id, const operator_functions::deliver& done) {
            explained = id;
            done("{}");
        };
        out.drain = [this] { ++drains; };
        return out;
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        const bool is_handled = co_await api.handle(exchange);
        if (!is_handled) {
            auto response = json_response(404, "not the operators' API");
            co_await exchange.reply(std::move(response));
        }
    }

    http_response call(const std::string& method, const std::string& target, const std::string& key,
                       const std::string& body = {})
    {
        http_result result;
        const auto run = [&]() -> asio::awaitable<void> {
            const ip_endpoint address{"127.0.0.1", server.port()};
            http_request request{method, target, {}, body};
            if (!key.empty()) {
                request.headers.push_back({"Authorization", "Bearer " + key});
            }
            const http_timeouts timeouts;
            result = co_await call_http(address, request, timeouts);
            io.stop();
        };
        asio::co_spawn(io, run(), asio::detached);
        io.restart();
        io.run();
        return result.response;
    }
};

} // namespace

TEST_CASE("each operator endpoint answers, and invalid requests are rejected with an error")
{
    struct row {
        const char* method;
        const char* target;
        const char* body;
        int status;
        const char* answer;
    };
    const row rows[] = {
        {"GET", "/operator/status", "", 200, R"({"instance":"e1"})"},
        {"GET", "/operator/explain/r%2F1", "", 200, "{}"},
        {"POST", "/operator/drain", "", 202, "draining"},
        {"GET", "/operator/drain", "", 404, "unknown-path"},
        {"PUT", "/operator/log-level", R"({"component":"peer","level":"debug"})", 200, "ok"},
        {"PUT", "/operator/log-level", R"({"component":"peer","level":"loud"})", 400, "level"},
        {"PUT", "/operator/log-level", "{", 400, "level"},
        {"GET", "/operator/other", "", 404, "unknown-path"},
        {"GET", "/v1/addresses", "", 404, "not the operators' API"},
    };
    operator_fixture f{sha256_hex("secret")};
    for (const auto& it : rows) {
        CAPTURE(it.target);
        const auto response = f.call(it.method, it.target, "secret", it.body);
        CHECK(response.status == it.status);
        CHECK(response.body.find(it.answer) != std::string::npos);
    }
    CHECK(f.explained == "r/1");
    CHECK(f.drains == 1);
    CHECK(is_log_enabled("peer", log_level::debug));
    set_log_level("*", log_level::info);
}

TEST_CASE("operator requests need the operator key, and all are refused if no key hash is set")
{
    for (const auto& hash : {sha256_hex("secret"), std::string{}}) {
        CAPTURE(hash);
        operator_fixture f{hash};
        CHECK(f.call("POST", "/operator/drain", "").status == 401);
        CHECK(f.call("POST", "/operator/drain", "wrong").status == 401);
        CHECK(f.call("POST", "/operator/drain", hash).status == 401);
        CHECK(f.drains == 0);
    }
}
