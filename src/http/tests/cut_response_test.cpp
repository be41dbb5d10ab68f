#include "raw_server.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

using namespace almondline;

namespace {

constexpr std::size_t never = 1'000'000;

struct response_form {
    std::string name;
    std::string bytes;
    std::size_t whole_from = 0; ///< bytes that are complete if the server closes after them
};

std::vector<response_form> forms()
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
    const std::string length = head + "Content-Length: 5\r\n\r\nhello";
    const std::string chunks =
        head +
        "Transfer-Encoding: chunked\r\n\r\n3;x=1\r\nhel\r\n2\r\nlo\r\n0\r\nX-Trailer: 1\r\n\r\n";
    const std::string unframed = head + "Connection: close\r\n\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string many;
    for (int n = 0; n < 10; ++n) {
        many += interim;
    }
    return {{"length", length, length.size()},
            {"empty", head + "Content-Length: 0\r\n\r\n", head.size() + 21},
            {"chunked", chunks, chunks.size()},
            {"unframed", unframed + "hello", unframed.size()},
            {"interim", interim, never},
            {"interim and final", interim + interim + length, 2 * interim.size() + length.size()},
            {"many interim", many, never}};
}

} // namespace

// The store's client, almondctl and the other callers of call_http would take a part for the whole.
TEST_CASE("a response that ends early is never complete")
{
    raw_server server;
    for (const auto& form : forms()) {
        CAPTURE(form.name);
        for (std::size_t n = 0; n <= form.bytes.size(); ++n) {
            CAPTURE(n);
            const auto result = call_raw(server, std::string_view{form.bytes}.substr(0, n), false);
            const bool is_whole = n >= form.whole_from;
            CHECK((result.progress == http_progress::complete) == is_whole);
            CHECK(result.message.empty() == is_whole);
        }
    }
}

TEST_CASE("a response that is reset before its end is never complete")
{
    raw_server server;
    for (const auto& form : forms()) {
        CAPTURE(form.name);
        const bool has_end = form.whole_from == form.bytes.size();
        const auto end = has_end ? form.bytes.size() - 1 : form.bytes.size();
        for (std::size_t n = 0; n <= end; n += n + 8 < end ? 7 : 1) {
            CAPTURE(n);
            const auto result = call_raw(server, std::string_view{form.bytes}.substr(0, n), true);
            CHECK(result.progress != http_progress::complete);
        }
    }
}
