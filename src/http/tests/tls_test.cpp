#include "http/client.h"
#include "http/server.h"
#include "tls/tests/certificates.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::tls_test;
namespace asio = boost::asio;

namespace {

const certificate_spec local{"entry.test", "127.0.0.1", std::chrono::hours{1}};

struct fixture {
    manual_clock clock;
    certificate_authority ca;
    asio::io_context io;
    std::string error;
    int closed_callers = 0;
    tls_files files;
    http_server server;

    explicit fixture(const certificate_spec& spec = local)
        : files{ca.issue("server", spec)}, server{
                                               io,
                                               {"127.0.0.1", 0},
                                               {.handshake_timeout = std::chrono::milliseconds{50}},
                                               [this](http_exchange& exchange) {
                                                   return answer(exchange);
                                               },
                                               load_tls_server(files, clock, error)}
    {
        REQUIRE(error == "");
    }

    asio::awaitable<void> answer(http_exchange& exchange)
    {
        if (exchange.request().target == "/wait") {
            co_await exchange.wait_closed();
            ++closed_callers;
            io.stop();
            co_return;
        }
        co_await exchange.reply(json_response(200, exchange.request().body));
    }

    http_result call(const http_client_tls& tls, const std::string& target = "/",
                     std::chrono::milliseconds read_timeout = std::chrono::seconds{5})
    {
        http_result result;
        const auto run = [&]() -> asio::awaitable<void> {
            const ip_endpoint address{"127.0.0.1", server.port()};
            http_request request{"POST", target, {}, std::string(100'000, 'x')};
            http_timeouts timeouts;
            timeouts.read = read_timeout;
            result = co_await call_http(address, request, timeouts, 1'000'000, tls);
            io.stop();
        };
        asio::co_spawn(io, run(), asio::detached);
        io.restart();
        io.run();
        return result;
    }

    http_client_tls trusting(const std::string& ca_path, const std::string& server_name = {})
    {
        return {load_tls_client({{}, {}, ca_path}, clock, error), server_name};
    }
};

} // namespace

TEST_CASE("a client sends its request only to a server whose certificate it can verify")
{
    const certificate_authority other;
    struct row {
        const char* name;
        certificate_spec spec;
        bool is_other_ca;
        const char* server_name;
        bool is_accepted;
    };
    const row rows[] = {
        {"by address", local, false, "", true},
        {"by name", local, false, "entry.test", true},
        {"wrong CA", local, true, "", false},
        {"wrong name", local, false, "other.test", false},
        {"wrong address", {"entry.test", "127.0.0.2", std::chrono::hours{1}}, false, "", false},
        {"expired", {"entry.test", "127.0.0.1", -std::chrono::hours{1}}, false, "", false},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        fixture f{it.spec};
        const auto trusted = it.is_other_ca ? other.ca_path() : f.ca.ca_path();
        const auto result = f.call(f.trusting(trusted, it.server_name));
        CAPTURE(result.message);
        CHECK((result.progress == http_progress::complete) == it.is_accepted);
        CHECK(result.response.body.size() == (it.is_accepted ? 100'000 : 0));
        if (!it.is_accepted) {
            CHECK(result.progress == http_progress::not_connected);
            CHECK(result.message.find("TLS handshake: ") == 0);
        }
    }
}

TEST_CASE("plain HTTP to a TLS port gets no response and affects no other caller")
{
    fixture f;
    const auto plain = f.call({});
    CHECK(plain.progress != http_progress::complete);
    CHECK(plain.response.status != 201);
    CHECK(f.call(f.trusting(f.ca.ca_path())).progress == http_progress::complete);
}

TEST_CASE("a caller that does not finish its handshake is disconnected")
{
    fixture f;
    asio::ip::tcp::socket silent{f.io};
    silent.connect({asio::ip::make_address("127.0.0.1"), f.server.port()});
    boost::system::error_code ended;
    char byte = 0;
    asio::async_read(silent, asio::buffer(&byte, 1),
                     [&](boost::system::error_code ec, std::size_t) {
                         ended = ec;
                         f.io.stop();
                     });
    f.io.run();
    CHECK(ended);
}

TEST_CASE("wait_closed detects over TLS that the caller has closed the connection")
{
    fixture f;
    f.call(f.trusting(f.ca.ca_path()), "/wait", std::chrono::milliseconds{50});
    f.io.restart();
    f.io.run();
    CHECK(f.closed_callers == 1);
}

TEST_CASE("a renewed certificate is used without a restart, a mismatched one is not")
{
    fixture f;
    certificate_authority renewed;
    const auto before = f.trusting(f.ca.ca_path());
    const auto after = f.trusting(renewed.ca_path());
    CHECK(f.call(before).progress == http_progress::complete);
    CHECK(f.call(after).progress == http_progress::not_connected);

    const auto fresh = renewed.issue("server", local);
    write_file(f.files.certificate, read_file(fresh.certificate));
    f.clock.advance(tls_check_interval);
    CHECK(f.call(before).progress == http_progress::complete); // the key does not match yet

    write_file(f.files.key, read_file(fresh.key));
    f.clock.advance(tls_check_interval);
    CHECK(f.call(after).progress == http_progress::complete);
    CHECK(f.call(before).progress == http_progress::not_connected);
}

TEST_CASE("unusable credentials are refused on loading, with the file and the reason")
{
    const manual_clock clock;
    certificate_authority ca;
    const auto one = ca.issue("one", local);
    const auto two = ca.issue("two", local);
    std::string error;
    CHECK(load_tls_server({one.certificate, two.key, {}}, clock, error) == nullptr);
    CHECK(error.find(two.key) == 0);
    CHECK(load_tls_server({ca.path("none"), one.key, {}}, clock, error) == nullptr);
    CHECK(load_tls_server({one.certificate, {}, {}}, clock, error) == nullptr);
    CHECK(load_tls_client({}, clock, error) == nullptr);
    CHECK(load_tls_peer({one.certificate, one.key, {}}, clock, error) == nullptr);
}
