#pragma once

#include "http/body_reservation.h"
#include "http/server.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <string>

namespace almondline::http_internal {

using string_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Bytes to reserve for a body before it is read: its Content-Length, or unannounced_body_bytes if
/// it is chunked, and at most max_body_bytes.
std::uint64_t expected_body(const string_parser& parser, const http_server_limits& limits);

/// Reserves memory for the next part of a chunked body, and grows the body's buffer if the part may
/// not fit. `buffered` bytes were received and are not parsed yet. Returns false if the budget does
/// not cover the part.
bool reserve_next_part(std::string& body, std::size_t buffered, body_reservation& reserved,
                       const http_server_limits& limits);

} // namespace almondline::http_internal
