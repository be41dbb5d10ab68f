#pragma once

#include "tls/internal/optional_tls_stream.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

namespace almondline::http_internal {

using client_stream = tls_internal::optional_tls_stream<boost::beast::tcp_stream>;
using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// Reads a response to the end of its header. The buffer keeps what follows. Unlike Beast's
/// async_read_header(), it rejects a line that begins with a space or a tab. Such a line continues
/// the value before it (obsolete line folding; RFC 9112, section 5.2, lets a gateway reject it),
/// but a faulty server may have meant a field of its own, such as the length of the body.
boost::asio::awaitable<boost::system::error_code>
read_response_header(client_stream& stream, boost::beast::flat_buffer& buf,
                     response_parser& parser);

} // namespace almondline::http_internal
