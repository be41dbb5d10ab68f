#include "peer/frame.h"
#include "peer/peer_transport.h"
#include "peer/wire.h"
#include "tls/tests/certificates.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <vector>

using namespace almondline;
using namespace almondline::peer;
using namespace almondline::tls_test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

wire::envelope make_cancel()
{
    wire::cancel_message cancel;
    cancel.request_id = "r1";
    wire::envelope message;
    message.__set_cancel(cancel);
    return message;
}

struct fixture {
    manual_clock clock;
    certificate_authority ca;
    asio::io_context io;
    std::map<std::string, std::string> addresses;
    int received = 0;

    std::unique_ptr<peer_transport> make(const std::string& id, const tls_files& files)
    {
        peer_settings settings;
        settings.instance_id = id;
        settings.incarnation = 1;
        settings.listen = {"127.0.0.1", 0};
        settings.tick_interval = 0ms;
        std::string error;
        settings.credentials = load_tls_peer(files, clock, error);
        REQUIRE(error == "");
        auto transport = std::make_unique<peer_transport>(
            io, clock, settings, [this](const std::string& peer) { return addresses[peer]; },
            [this](const std::string&, const wire::envelope&) { ++received; });
        addresses[id] = "127.0.0.1:" + std::to_string(transport->port());
        return transport;
    }

    /// Runs until the condition holds. The limit only ends a failing test.
    bool run_until(const std::function<bool()>& condition)
    {
        for (int n = 0; n < 2000 && !condition(); ++n) {
            io.restart();
            io.run_one_for(2ms);
        }
        return condition();
    }
};

} // namespace

TEST_CASE("peers exchange messages only if both certificates are valid and contain the claimed id")
{
    struct row {
        const char* name;
        certificate_spec caller;
        certificate_spec listener;
        bool is_other_ca;
        bool is_delivered;
    };
    const row rows[] = {
        {"valid", {"a", "", 1h}, {"b", "", 1h}, false, true},
        {"wrong CA", {"a", "", 1h}, {"b", "", 1h}, true, false},
        {"expired caller", {"a", "", -1h}, {"b", "", 1h}, false, false},
        {"expired listener", {"a", "", 1h}, {"b", "", -1h}, false, false},
        {"caller claims another id", {"c", "", 1h}, {"b", "", 1h}, false, false},
        {"listener claims another id", {"a", "", 1h}, {"c", "", 1h}, false, false},
        {"wildcard", {"*", "", 1h}, {"b", "", 1h}, false, false},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        fixture f;
        certificate_authority other;
        const auto a = f.make("a", (it.is_other_ca ? other : f.ca).issue("a", it.caller));
        const auto b = f.make("b", f.ca.issue("b", it.listener));
        a->send("b", make_cancel());
        // Ends when the message has arrived or all connections are closed.
        CHECK(f.run_until(
            [&] { return f.received == 1 || a->open_connections() + b->open_connections() == 0; }));
        CHECK(f.received == (it.is_delivered ? 1 : 0));
    }
}

TEST_CASE("a TLS port closes connections with plain text or a handshake that takes too long")
{
    fixture f;
    const auto b = f.make("b", f.ca.issue("b", {"b", "", 1h}));
    asio::ip::tcp::socket plain{f.io};
    plain.connect({asio::ip::make_address("127.0.0.1"), b->port()});
    wire::hello hello;
    hello.protocol_version = protocol_version;
    hello.instance_id = "a";
    hello.incarnation = 1;
    wire::envelope message;
    message.__set_greeting(hello);
    std::string bytes;
    encode_frame(message, bytes);
    encode_frame(make_cancel(), bytes);
    asio::write(plain, asio::buffer(bytes));
    f.run_until([&] { return b->open_connections() == 1; });
    CHECK(f.run_until([&] { return b->open_connections() == 0; }));
    CHECK(f.received == 0);

    asio::ip::tcp::socket slow{f.io};
    slow.connect({asio::ip::make_address("127.0.0.1"), b->port()});
    REQUIRE(f.run_until([&] { return b->open_connections() == 1; }));
    f.clock.advance(1s);
    b->tick();
    CHECK(b->open_connections() == 0);
    CHECK(b->counters().timeouts == 1);
}

TEST_CASE("an instance uses a renewed certificate without a restart")
{
    fixture f;
    const auto a = f.make("a", f.ca.issue("a", {"a", "", -1h}));
    const auto b = f.make("b", f.ca.issue("b", {"b", "", 1h}));
    a->send("b", make_cancel());
    CHECK(f.run_until([&] { return a->counters().dropped_unreachable == 1; }));
    f.ca.issue("a", {"a", "", 1h});
    f.clock.advance(tls_check_interval);
    a->send("b", make_cancel());
    CHECK(f.run_until([&] { return f.received == 1; }));
}
