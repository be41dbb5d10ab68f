#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace almondline {

struct http_header {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method = "GET";
    std::string target = "/"; ///< path and query
    std::vector<http_header> headers;
    std::string body;
};

struct http_response {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
};

/// Value of the first header with this name (case-insensitive), empty if there is none.
std::string_view find_header(const std::vector<http_header>& headers, std::string_view name);

/// Path of a target, without the query.
std::string_view target_path(std::string_view target);

/// Percent-decoded value of a query parameter, empty if it is missing.
std::string query_parameter(std::string_view target, std::string_view name);

/// Response with a JSON body.
http_response json_response(int status, std::string body);

/// Percent-encodes everything except unreserved characters.
std::string percent_encode(std::string_view text);

/// Reverses percent_encode(). Malformed escapes are left unchanged.
std::string percent_decode(std::string_view text);

} // namespace almondline
