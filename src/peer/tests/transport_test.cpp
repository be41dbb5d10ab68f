#include "peer/frame.h"
#include "peer/peer_transport.h"
#include "peer/wire.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <vector>

using namespace almondline;
using namespace almondline::peer;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

wire::envelope make_cancel(const std::string& request_id)
{
    wire::cancel_message cancel;
    cancel.request_id = request_id;
    cancel.pool = "chat";
    wire::envelope message;
    message.__set_cancel(cancel);
    return message;
}

std::string frame_of(const wire::envelope& message)
{
    std::string frame;
    encode_frame(message, frame);
    return frame;
}

std::string greeting(const std::string& id, std::int64_t incarnation, std::int32_t version = 1)
{
    wire::hello hello;
    hello.protocol_version = version;
    hello.instance_id = id;
    hello.incarnation = incarnation;
    wire::envelope message;
    message.__set_greeting(hello);
    return frame_of(message);
}

struct received_message {
    std::string from, request_id;
    bool operator==(const received_message&) const = default;
};

struct fixture {
    asio::io_context io;
    manual_clock clock;
    std::map<std::string, std::string> addresses;
    std::vector<received_message> received;

    std::unique_ptr<peer_transport> make(const std::string& id, std::int64_t incarnation = 1,
                                         std::size_t max_connections = 100)
    {
        peer_settings settings;
        settings.instance_id = id;
        settings.incarnation = incarnation;
        settings.listen = {"127.0.0.1", 0};
        settings.max_connections = max_connections;
        settings.max_queued_messages = 4;
        settings.tick_interval = 0ms;
        auto transport = std::make_unique<peer_transport>(
            io, clock, settings, [this](const std::string& peer) { return addresses[peer]; },
            [this](const std::string& from, const wire::envelope& message) {
                received.push_back({from, message.cancel.request_id});
            });
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

    void run_until_idle()
    {
        io.restart();
        while (io.run_one_for(5ms) > 0) {}
    }

    /// Connects a plain socket to the transport and writes the bytes.
    tcp::socket connect_raw(const peer_transport& to, const std::string& bytes)
    {
        tcp::socket socket{io};
        socket.connect({asio::ip::make_address("127.0.0.1"), to.port()});
        asio::write(socket, asio::buffer(bytes));
        return socket;
    }
};

/// Listener that sends a greeting and then never writes again.
struct unresponsive_peer {
    unresponsive_peer(fixture& f, const std::string& id) : acceptor{f.io, {tcp::v4(), 0}}
    {
        f.addresses[id] = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        accept_next(id);
    }

    void accept_next(const std::string& id)
    {
        acceptor.async_accept([this, id](boost::system::error_code ec, tcp::socket socket) {
            if (ec) {
                return;
            }
            const auto hello = greeting(id, 1);
            asio::write(socket, asio::buffer(hello));
            sockets.push_back(std::move(socket));
            accept_next(id);
        });
    }

    tcp::acceptor acceptor;
    std::vector<tcp::socket> sockets;
};

} // namespace

TEST_CASE_FIXTURE(fixture, "messages in both directions use one connection")
{
    const auto a = make("a");
    const auto b = make("b");
    a->send("b", make_cancel("r1"));
    a->send("b", make_cancel("r2"));
    REQUIRE(run_until([&] { return received.size() == 2; }));
    b->send("a", make_cancel("r3"));
    REQUIRE(run_until([&] { return received.size() == 3; }));
    CHECK(received == std::vector<received_message>{{"a", "r1"}, {"a", "r2"}, {"b", "r3"}});
    CHECK(a->open_connections() == 1);
    CHECK(a->counters().sent[static_cast<std::size_t>(envelope_kind::cancel)].messages == 2);
    CHECK(b->counters().received[static_cast<std::size_t>(envelope_kind::cancel)].bytes ==
          frame_of(make_cancel("r1")).size() + frame_of(make_cancel("r2")).size());
}

TEST_CASE_FIXTURE(fixture,
                  "invalid input closes the connection, and valid or unknown input does not")
{
    struct row {
        const char* name;
        std::string bytes;
        bool is_kept;
        std::uint64_t bad_frames, bad_greetings;
        std::size_t messages;
    };
    using namespace std::string_literals;
    const auto hello = greeting("x", 1);
    const auto cancel = frame_of(make_cancel("r1"));
    const row rows[] = {
        {"greeting and message", hello + cancel, true, 0, 0, 1},
        {"unknown field in a ping", hello + "\0\0\0\x09\x2c\x16\x0e\x88\x02hi\0\0"s, true, 0, 0, 1},
        {"unknown kind of message", hello + "\0\0\0\x04\x0c\x50\0\0"s + cancel, true, 0, 0, 1},
        {"keepalive", hello + "\0\0\0\0"s + cancel, true, 0, 0, 1},
        {"unfinished frame", hello + cancel.substr(0, cancel.size() - 1), true, 0, 0, 0},
        {"wrong version", greeting("x", 1, 2) + cancel, false, 0, 1, 0},
        {"no greeting", cancel, false, 0, 1, 0},
        {"own instance id", greeting("a", 1), false, 0, 1, 0},
        {"over-long frame", hello + "\0\x16\xe3\x61zz"s, false, 1, 0, 0},
        {"garbage in a frame", hello + "\0\0\0\x03zzz"s + cancel, false, 1, 0, 0},
        {"another protocol", "GET / HTTP/1.1\r\n\r\n", false, 1, 0, 0},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        received.clear();
        const auto a = make("a");
        const auto raw = connect_raw(*a, it.bytes);
        run_until_idle();
        CHECK(a->open_connections() == (it.is_kept ? 1 : 0));
        CHECK(a->counters().bad_frames == it.bad_frames);
        CHECK(a->counters().bad_greetings == it.bad_greetings);
        CHECK(received.size() == it.messages);
    }
}

TEST_CASE_FIXTURE(fixture,
                  "incomplete input closes the connection after the timeout that applies to it")
{
    struct row {
        const char* name;
        std::string bytes;
        std::chrono::milliseconds kept_until, closed_at;
    };
    const auto cancel = frame_of(make_cancel("r1"));
    const row rows[] = {
        {"no greeting", "", 999ms, 1000ms},
        {"half a greeting", greeting("x", 1).substr(0, 6), 999ms, 1000ms},
        {"half a frame", greeting("x", 1) + cancel.substr(0, 9), 4999ms, 5000ms},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        const auto a = make("a");
        const auto raw = connect_raw(*a, it.bytes);
        run_until_idle();
        clock.advance(it.kept_until);
        a->tick();
        CHECK(a->open_connections() == 1);
        clock.advance(it.closed_at - it.kept_until);
        a->tick();
        CHECK(a->open_connections() == 0);
        CHECK(a->counters().timeouts == 1);
    }
}

TEST_CASE_FIXTURE(fixture, "a connection that became unresponsive is replaced by a new one")
{
    const auto a = make("a");
    unresponsive_peer peer{*this, "s"};
    a->send("s", make_cancel("r1"));
    REQUIRE(run_until([&] { return a->counters().connections_opened == 1; }));
    run_until_idle();
    clock.advance(1999ms);
    a->tick();
    CHECK(a->counters().replaced_unresponsive == 0);
    clock.advance(1ms);
    a->tick();
    CHECK(a->counters().replaced_unresponsive == 1);
    a->send("s", make_cancel("r2"));
    CHECK(run_until([&] { return peer.sockets.size() == 2; }));
    CHECK(run_until([&] { return a->counters().connections_opened == 2; }));
}

TEST_CASE_FIXTURE(fixture,
                  "a working peer that sends no messages itself is not considered unresponsive")
{
    const auto a = make("a");
    const auto b = make("b");
    for (int n = 0; n < 20; ++n) {
        a->send("b", make_cancel("r"));
        run_until_idle();
        clock.advance(500ms);
        a->tick();
        b->tick();
        run_until_idle();
    }
    CHECK(received.size() == 20);
    CHECK(a->counters().replaced_unresponsive == 0);
    CHECK(a->counters().connections_opened == 1);
}

TEST_CASE_FIXTURE(fixture, "messages reach a peer again after it restarted with a new incarnation")
{
    const auto a = make("a");
    auto b = make("b", 1);
    a->send("b", make_cancel("r1"));
    REQUIRE(run_until([&] { return received.size() == 1; }));
    CHECK(a->peer_incarnation("b") == 1);
    b.reset();
    b = make("b", 2);
    run_until_idle();
    a->send("b", make_cancel("r2"));
    REQUIRE(run_until([&] { return received.size() == 2; }));
    CHECK(a->peer_incarnation("b") == 2);

    // A process of the old incarnation that resumes late must not replace the connection.
    const auto stale = connect_raw(*a, greeting("b", 1));
    run_until_idle();
    CHECK(a->counters().bad_greetings == 1);
    CHECK(a->peer_incarnation("b") == 2);
}

TEST_CASE_FIXTURE(fixture,
                  "a connection of a newer incarnation replaces one that still appears open")
{
    const auto a = make("a");
    const auto old = connect_raw(*a, greeting("b", 1));
    run_until_idle();
    const auto fresh = connect_raw(*a, greeting("b", 2));
    run_until_idle();
    CHECK(a->open_connections() == 1);
    CHECK(a->peer_incarnation("b") == 2);
}

TEST_CASE_FIXTURE(fixture,
                  "messages for one instance are not sent to another one that has its address")
{
    const auto a = make("a");
    const auto b = make("b");
    addresses["c"] = addresses["b"];
    a->send("c", make_cancel("r1"));
    REQUIRE(run_until([&] { return a->counters().bad_greetings == 1; }));
    CHECK(received.empty());
    CHECK(a->counters().dropped_unreachable == 1);
}

TEST_CASE_FIXTURE(
    fixture, "an unreachable peer causes one connection attempt per delay, not one per message")
{
    const auto a = make("a");
    const auto address = addresses["a"];
    addresses["gone"] = "127.0.0.1:1";
    for (int n = 0; n < 5; ++n) {
        a->send("gone", make_cancel("r"));
        run_until_idle();
    }
    CHECK(a->counters().dropped_unreachable == 5);
    addresses["gone"] = make("gone")->port() > 0 ? address : "";
    clock.advance(200ms);
    a->send("gone", make_cancel("r"));
    CHECK(run_until([&] { return a->counters().bad_greetings == 1; }));
}

TEST_CASE_FIXTURE(fixture, "a full queue drops its oldest messages")
{
    const auto a = make("a");
    const auto b = make("b");
    for (int n = 1; n <= 6; ++n) {
        a->send("b", make_cancel("r" + std::to_string(n)));
    }
    REQUIRE(run_until([&] { return received.size() == 4; }));
    CHECK(received.front().request_id == "r3");
    CHECK(a->counters().dropped_queue_full == 2);
}

TEST_CASE_FIXTURE(fixture, "probes and credits are not delayed or dropped by parts of manifests")
{
    const auto a = make("a");
    const auto b = make("b");
    wire::manifest_body chunk;
    chunk.data.assign(1'000, 'x');
    wire::envelope body;
    body.__set_body(chunk);
    for (int n = 1; n <= 3; ++n) {
        a->send("b", body);
    }
    a->send("b", make_cancel("r1"));
    a->send("b", make_cancel("r2"));
    REQUIRE(run_until([&] { return received.size() == 4; }));
    CHECK(received[0].request_id == "r1");
    CHECK(received[1].request_id == "r2");
    CHECK(a->counters().dropped_queue_full == 1);
}

TEST_CASE_FIXTURE(fixture, "connections above the limit are refused")
{
    const auto a = make("a", 1, 2);
    const auto first = connect_raw(*a, greeting("x", 1));
    const auto second = connect_raw(*a, greeting("y", 1));
    run_until_idle();
    const auto third = connect_raw(*a, greeting("z", 1));
    run_until_idle();
    CHECK(a->open_connections() == 2);
    a->send("unknown", make_cancel("r1"));
    CHECK(a->counters().connections_refused == 2);
}

TEST_CASE_FIXTURE(fixture, "the write timeout closes the connection of a peer that does not read")
{
    const auto a = make("a");
    const auto raw = connect_raw(*a, greeting("x", 1));
    run_until_idle();
    wire::manifest_body chunk;
    chunk.data.assign(1'000'000, 'x');
    wire::envelope message;
    message.__set_body(chunk);
    // More than the socket buffers hold, in steps that fit in the queue.
    for (int n = 0; n < 30; ++n) {
        a->send("x", message);
        run_until_idle();
    }
    clock.advance(2000ms);
    a->tick();
    CHECK(a->counters().timeouts == 1);
    CHECK(a->open_connections() == 0);
}

TEST_CASE_FIXTURE(fixture, "the timer enforces timeouts without explicit calls of tick()")
{
    const system_clock_source real;
    peer_settings settings;
    settings.instance_id = "a";
    settings.listen = {"127.0.0.1", 0};
    settings.handshake_timeout = 20ms;
    settings.tick_interval = 1ms;
    peer_transport a{io, real, settings, [](const std::string&) { return std::string{}; },
                     [](const std::string&, const wire::envelope&) {}};
    const auto raw = connect_raw(a, "");
    CHECK(run_until([&] { return a.counters().timeouts == 1; }));
    CHECK(a.open_connections() == 0);
}
