#include "http/internal/message_framing.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace almondline::http_internal {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned http_1_1 = 11;

beast::string_view trimmed(beast::string_view text)
{
    constexpr auto whitespace = " \t";
    const auto begin = text.find_first_not_of(whitespace);
    if (begin == beast::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(whitespace) - begin + 1);
}

} // namespace

boost::system::error_code check_transfer_coding(const http::fields& header)
{
    const auto codings = header.count(http::field::transfer_encoding);
    if (codings == 0) {
        return {};
    }
    const auto coding = trimmed(header[http::field::transfer_encoding]);
    const bool is_chunked = codings == 1 && beast::iequals(coding, "chunked");
    const bool has_length = header.count(http::field::content_length) > 0;
    if (!is_chunked || has_length) {
        return make_error_code(http::error::bad_transfer_encoding);
    }
    return {};
}

boost::system::error_code check_framing(const http::header<true, http::fields>& request)
{
    if (request.version() < http_1_1 && request.count(http::field::transfer_encoding) > 0) {
        return make_error_code(http::error::bad_transfer_encoding);
    }
    return check_transfer_coding(request);
}

} // namespace almondline::http_internal
