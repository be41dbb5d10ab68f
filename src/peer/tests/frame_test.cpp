#include "peer/envelope_kind.h"
#include "peer/frame.h"
#include "peer/wire.h"

#include <doctest/doctest.h>
#include <random>

using namespace almondline;
using namespace almondline::peer;

namespace {

wire::envelope make_ping(std::size_t updates)
{
    wire::member_update update;
    update.instance_id = "entry-2";
    update.incarnation = 12;
    update.state = wire::member_state::suspect;
    wire::probe ping;
    ping.nonce = 7;
    ping.__set_updates(std::vector<wire::member_update>(updates, update));
    wire::envelope message;
    message.__set_ping(ping);
    return message;
}

std::string body_of(const wire::envelope& message)
{
    std::string frame;
    REQUIRE(encode_frame(message, frame) == frame_status::complete);
    return frame.substr(frame_header_bytes);
}

} // namespace

TEST_CASE("a decoded message equals the encoded one")
{
    const auto message = make_ping(3);
    std::string frame;
    REQUIRE(encode_frame(message, frame) == frame_status::complete);
    std::size_t n = 0;
    REQUIRE(decode_header(frame, n) == frame_status::complete);
    CHECK(n == frame.size() - frame_header_bytes);
    wire::envelope decoded;
    REQUIRE(decode_body(std::string_view{frame}.substr(frame_header_bytes), decoded) ==
            frame_status::complete);
    CHECK(decoded == message);
    CHECK(to_string(kind_of(decoded)) == "ping");
}

// The receiver drops messages of a kind that kind_of() does not know.
TEST_CASE("a list of servers and the request for it keep their kind and content when decoded")
{
    wire::envelope request;
    request.__set_servers_request(wire::server_list_request{});
    wire::server_list_reply reply;
    reply.revision = 9;
    reply.servers.resize(2);
    wire::envelope list;
    list.__set_servers(reply);
    for (const auto& message : {request, list}) {
        wire::envelope decoded;
        REQUIRE(decode_body(body_of(message), decoded) == frame_status::complete);
        CHECK(decoded == message);
    }
}

TEST_CASE("an incomplete header waits for more bytes and a length above the limit is refused")
{
    struct row {
        std::string bytes;
        frame_status expected;
    };
    // 1,500,000 is 0x0016e360.
    const row rows[] = {
        {"", frame_status::incomplete},
        {std::string("\0\0\1", 3), frame_status::incomplete},
        {std::string("\0\0\0\0", 4), frame_status::complete},
        {std::string("\0\x16\xe3\x60", 4), frame_status::complete},
        {std::string("\0\x16\xe3\x61", 4), frame_status::too_large},
        {"\xff\xff\xff\xff", frame_status::too_large},
    };
    for (const auto& it : rows) {
        std::size_t n = 0;
        CHECK(decode_header(it.bytes, n) == it.expected);
    }
}

TEST_CASE("bodies of newer versions are accepted, malicious ones are refused before they allocate")
{
    using namespace std::string_literals;
    struct row {
        const char* name;
        std::string body;
        frame_status expected;
    };
    const row rows[] = {
        {"keepalive", "", frame_status::keepalive},
        {"ping", "\x2c\x16\x0e\0\0"s, frame_status::complete},
        {"unknown field 9 in ping", "\x2c\x16\x0e\x88\x02hi\0\0"s, frame_status::complete},
        {"unknown message 40", "\x0c\x50\0\0"s, frame_status::unknown_kind},
        {"no field set", "\0"s, frame_status::unknown_kind},
        {"ping without its required nonce", "\x2c\0\0"s, frame_status::malformed},
        {"bytes after the end", "\x2c\x16\x0e\0\0\0"s, frame_status::malformed},
        {"unknown list of 4000 bytes", "\x2c\x16\x0e\x89\xf3\xa0\x1f"s + std::string(4002, '\0'),
         frame_status::complete},
        {"unknown list of 5000 bytes", "\x2c\x16\x0e\x89\xf3\x88\x27"s + std::string(5002, '\0'),
         frame_status::malformed},
        {"list claims 4000 updates", "\x2c\x16\x0e\x19\xfc\xa0\x1f\0\0"s, frame_status::malformed},
        {"list claims 2^31-1 updates", "\x2c\x16\x0e\x19\xfc\xff\xff\xff\xff\x07\0\0"s,
         frame_status::malformed},
        {"string claims 1.4 MB", "\x4c\x16\x02\x18\xc0\xb9\x55zz\0\0"s, frame_status::malformed},
        {"nested 1000 deep", std::string(1000, '\x9c'), frame_status::malformed},
        {"text", "GET / HTTP/1.1\r\n\r\n", frame_status::malformed},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        wire::envelope message;
        CHECK(decode_body(it.body, message) == it.expected);
    }
}

TEST_CASE("a truncated body is malformed wherever it ends")
{
    const auto body = body_of(make_ping(2));
    for (std::size_t n = 1; n < body.size(); ++n) {
        wire::envelope message;
        CHECK(decode_body(std::string_view{body}.substr(0, n), message) == frame_status::malformed);
    }
}

TEST_CASE("mutated and random bodies never crash the decoder")
{
    std::mt19937 random{20261204};
    const auto valid = body_of(make_ping(4));
    int malformed = 0;
    for (int n = 0; n < 20'000; ++n) {
        auto body = valid;
        for (int changes = 0; changes < 3; ++changes) {
            body[random() % body.size()] = static_cast<char>(random());
        }
        if (n % 2 == 0) {
            for (auto& it : body) {
                it = static_cast<char>(random());
            }
        }
        wire::envelope message;
        malformed += decode_body(body, message) == frame_status::malformed ? 1 : 0;
    }
    CHECK(malformed > 10'000);
}

TEST_CASE("messages that the receiver would refuse are not encoded")
{
    std::string frame;
    CHECK(encode_frame(make_ping(max_list_elements), frame) == frame_status::complete);
    frame.clear();
    CHECK(encode_frame(make_ping(max_list_elements + 1), frame) == frame_status::too_large);
    wire::manifest_body chunk;
    chunk.data.assign(max_frame_bytes, 'x');
    wire::envelope message;
    message.__set_body(chunk);
    CHECK(encode_frame(message, frame) == frame_status::too_large);
    CHECK(frame.empty());
}
