#include "raw_server.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

using namespace almondline;

namespace {

const std::string valid = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// A response with this status line, and a valid response as its body or behind it.
std::vector<std::string> responses_with(const std::string& status_line)
{
    const std::string length = "Content-Length: " + std::to_string(valid.size()) + "\r\n\r\n";
    return {status_line + length + valid, status_line + "Content-Length: 0\r\n\r\n" + valid,
            status_line + "Connection: close\r\n\r\n" + valid};
}

void check_no_response(raw_server& server, const std::string& bytes)
{
    CAPTURE(bytes);
    const auto result = call_raw(server, bytes, false);
    CHECK(result.progress == http_progress::sent);
    CHECK(!result.message.empty());
    CHECK(result.response.body.empty());
}

/// ASCII characters that no field name may contain: the space and the control characters.
std::string invalid_name_characters()
{
    constexpr char space = ' ';
    constexpr char del = 0x7f;
    std::string out;
    for (char it = 0; it <= space; ++it) {
        out += it;
    }
    return out + del;
}

std::vector<std::string> names_with(char invalid, const std::string& name)
{
    std::vector<std::string> out;
    for (const auto at : {std::size_t{0}, std::size_t{1}, name.size() / 2, name.size()}) {
        auto broken = name;
        broken.insert(at, 1, invalid);
        out.push_back(std::move(broken));
    }
    return out;
}

} // namespace

// A status below 100 was skipped like an interim response, and its body was read as the response.
TEST_CASE("a response whose status is outside 100 to 599 is invalid")
{
    raw_server server;
    for (const auto* status : {"000", "001", "099", "600", "700", "999"}) {
        for (const auto& it : responses_with(std::string{"HTTP/1.1 "} + status + " X\r\n")) {
            check_no_response(server, it);
        }
    }
}

// A line that begins with a space was appended to the value before it, so that a length or coding
// in it was not followed and the caller got the line as a part of that value.
TEST_CASE("a response with a space or control character in a field name is invalid")
{
    struct field {
        std::string name;
        std::string value;
    };
    const field fields[] = {
        {"X-Field", "1"}, {"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}};
    raw_server server;
    for (const auto& field : fields) {
        for (const char invalid : invalid_name_characters()) {
            for (const auto& name : names_with(invalid, field.name)) {
                const auto line = name + ": " + field.value + "\r\n";
                check_no_response(server, "HTTP/1.1 200 OK\r\n" + line + "X-Id: 7\r\n\r\nhello");
                check_no_response(server, "HTTP/1.1 200 OK\r\nX-Id: 7\r\n" + line + "\r\nhello");
            }
        }
    }
}

TEST_CASE("a response with spaces, tabs or non-ASCII characters in a field value is valid")
{
    raw_server server;
    for (const auto* value : {"", " ", "\t", "a b", "a\tb", " a ", "\xc3\xa9"}) {
        CAPTURE(value);
        const auto bytes = "HTTP/1.1 200 OK\r\nX-Id:" + std::string{value} + "\r\n" +
                           "Content-Length: 5\r\n\r\nhello";
        const auto result = call_raw(server, bytes, false);
        CHECK(result.progress == http_progress::complete);
        CHECK(result.response.body == "hello");
    }
}

// The coding was dropped and the coded bytes were taken for the body.
TEST_CASE("a response with a transfer coding other than a single \"chunked\" is invalid")
{
    const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string coding = "Transfer-Encoding: ";
    raw_server server;
    for (const auto* it : {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked",
                           "chunked;x", "identity", ""}) {
        check_no_response(server, ok + coding + it + "\r\n\r\n" + chunks);
    }
    check_no_response(server, ok + coding + "gzip\r\n" + coding + "chunked\r\n\r\n" + chunks);
    check_no_response(server, ok + coding + "gzip\r\nContent-Length: 5\r\n\r\nhello");
    for (const auto* it : {"chunked", "Chunked", " chunked "}) {
        const auto bytes = ok + coding + it + "\r\n\r\n" + chunks;
        CHECK(call_raw(server, bytes, false).response.body == "hello");
    }
}
