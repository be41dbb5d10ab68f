#include "http/internal/message_framing.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace almondline::http_internal;
namespace http = boost::beast::http;

namespace {

/// Returns whether the parser or check_framing() refuses a request with these header lines.
bool is_refused(const std::string& lines, const std::string& version = "HTTP/1.1")
{
    http::request_parser<http::string_body> parser;
    parser.eager(false);
    const std::string text = "POST /x/ " + version + "\r\nHost: h\r\n" + lines + "\r\n";
    boost::system::error_code ec;
    parser.put(boost::asio::buffer(text), ec);
    return ec.failed() || check_framing(parser.get().base()).failed();
}

} // namespace

// The body behind an unknown transfer coding was read as the next request, and ran.
TEST_CASE("a request whose body has no certain end is refused")
{
    const std::vector<std::string> refused{
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: chunked;q=1\r\n",
        "Transfer-Encoding: \"chunked\"\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunke\r\n",
        "Transfer-Encoding: ,chunked\r\n",
        "Transfer-Encoding: chunked,\r\n",
        "Transfer-Encoding:\r\n",
        "Transfer-Encoding: \r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n",
        "Transfer-Encoding:\r\nContent-Length: 0\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5, 6\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: -5\r\n",
        "Content-Length: 0x5\r\n",
        "Content-Length: 5 5\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Content-Length:\r\n",
        "Transfer-Encoding : chunked\r\n",
    };
    for (const auto& it : refused) {
        CAPTURE(it);
        CHECK(is_refused(it));
    }
    CHECK(is_refused("Transfer-Encoding: chunked\r\n", "HTTP/1.0"));
}

TEST_CASE("a request whose body has a certain end is accepted")
{
    const std::vector<std::string> accepted{
        "",
        "Content-Length: 5\r\n",
        "Content-Length: 0\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Transfer-Encoding:\t Chunked \r\n",
    };
    for (const auto& it : accepted) {
        CAPTURE(it);
        CHECK_FALSE(is_refused(it));
    }
}
