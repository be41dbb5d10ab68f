#include "http/internal/response_header.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <string_view>

namespace almondline::http_internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t max_read_size = 64 * 1024;

bool has_folded_line(std::string_view fields)
{
    return fields.find("\r\n ") != fields.npos || fields.find("\r\n\t") != fields.npos;
}

/// Parses and consumes what is buffered of a header. Returns need_more if the header goes on.
error_code parse_header(beast::flat_buffer& buf, response_parser& parser)
{
    if (buf.size() == 0) {
        return http::error::need_more;
    }
    const auto data = buf.cdata();
    error_code ec;
    // The parser consumes whole fields, and sees the byte behind the end of a line before it does.
    const auto n = parser.put(data, ec);
    const bool is_folded = has_folded_line({static_cast<const char*>(data.data()), n});
    buf.consume(n);
    return is_folded ? error_code{http::error::bad_field} : ec;
}

asio::awaitable<error_code> read_more(client_stream& stream, beast::flat_buffer& buf)
{
    const auto size = beast::read_size(buf, max_read_size);
    if (size == 0) {
        co_return http::error::buffer_overflow;
    }
    const auto space = buf.prepare(size);
    const auto [ec, n] =
        co_await stream.async_read_some(space, asio::as_tuple(asio::use_awaitable));
    buf.commit(n);
    co_return ec;
}

} // namespace

asio::awaitable<error_code> read_response_header(client_stream& stream, beast::flat_buffer& buf,
                                                 response_parser& parser)
{
    for (;;) {
        const auto parsed = parse_header(buf, parser);
        if (parsed != http::error::need_more) {
            co_return parsed;
        }
        const auto ec = co_await read_more(stream, buf);
        if (ec == asio::error::eof) {
            co_return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        }
        if (ec) {
            co_return ec;
        }
    }
}

} // namespace almondline::http_internal
