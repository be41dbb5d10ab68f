#pragma once

#include "http/types/message.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

namespace almondline::http_internal {

/// Converts a request that was read with its whole body.
http_request from_beast(boost::beast::http::request<boost::beast::http::string_body>&& message);

/// Returns the status with which a request that could not be read is refused.
int status_of_read_error(const boost::system::error_code& ec);

/// Returns whether a read failed because the caller ended the connection.
bool is_connection_end(const boost::system::error_code& ec);

} // namespace almondline::http_internal
