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
