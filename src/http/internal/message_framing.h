#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace almondline::http_internal {

/// Returns an error if a message has any transfer coding but a single "chunked", or one beside a
/// Content-Length. Such a body can't be passed on, because its coding is not forwarded.
boost::system::error_code check_transfer_coding(const boost::beast::http::fields& header);

/// Returns an error if the end of the body can't be known for certain from the request's header:
/// any transfer coding but a single "chunked", a transfer coding beside a Content-Length or in
/// HTTP/1.0 (RFC 9112, sections 6.1 and 6.3). What follows such a header must not be read as a
/// request.
boost::system::error_code
check_framing(const boost::beast::http::header<true, boost::beast::http::fields>& request);

} // namespace almondline::http_internal
