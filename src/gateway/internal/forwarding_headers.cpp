#include "gateway/internal/forwarding_headers.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <string>

namespace almondline::gateway {

namespace {

constexpr std::array<std::string_view, 11> connection_headers{"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Connection",
                                                              "Proxy-Authenticate",
                                                              "TE",
                                                              "Transfer-Encoding",
                                                              "Trailer",
                                                              "Upgrade",
                                                              "Expect",
                                                              "Content-Length",
                                                              "Proxy-Authorization"};

constexpr std::array not_run_statuses{408, 421, 429, 503};

bool list_contains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        auto item = list.substr(0, comma);
        while (!item.empty() && item.front() == ' ') {
            item.remove_prefix(1);
        }
        while (!item.empty() && item.back() == ' ') {
            item.remove_suffix(1);
        }
        if (boost::algorithm::iequals(item, name)) {
            return true;
        }
        list = comma == list.npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

} // namespace

std::vector<http_header> forwarded_headers(const std::vector<http_header>& headers)
{
    const auto listed_names = find_header(headers, "Connection");
    std::vector<http_header> out;
    out.reserve(headers.size());
    for (const auto& it : headers) {
        const bool is_connection_header =
            std::any_of(connection_headers.begin(), connection_headers.end(),
                        [&](auto name) { return boost::algorithm::iequals(name, it.name); });
        if (!is_connection_header && !list_contains(listed_names, it.name)) {
            out.push_back(it);
        }
    }
    return out;
}

bool is_not_run_status(int status)
{
    return std::find(not_run_statuses.begin(), not_run_statuses.end(), status) !=
           not_run_statuses.end();
}

} // namespace almondline::gateway
