#include "http/internal/received_request.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ssl/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <string>
#include <utility>

namespace almondline::http_internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

http_request from_beast(http::request<http::string_body>&& message)
{
    http_request request;
    request.method = std::string{message.method_string()};
    request.target = std::string{message.target()};
    for (const auto& it : message) {
        request.headers.push_back({std::string{it.name_string()}, std::string{it.value()}});
    }
    request.body = std::move(message.body());
    return request;
}

int status_of_read_error(const boost::system::error_code& ec)
{
    if (ec == http::error::header_limit) {
        return 431;
    }
    if (ec == http::error::body_limit) {
        return 413;
    }
    if (ec == beast::error::timeout) {
        return 408;
    }
    return 400;
}

bool is_connection_end(const boost::system::error_code& ec)
{
    return ec == http::error::end_of_stream || ec == asio::error::connection_reset ||
           ec == asio::error::operation_aborted || ec == asio::error::eof ||
           ec == asio::ssl::error::stream_truncated;
}

} // namespace almondline::http_internal
