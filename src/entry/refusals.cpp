#include "entry/refusals.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace almondline::entry {

namespace json = boost::json;

std::string error_body(const refusal& reason, const std::string& request_id)
{
    const json::object error{{"code", reason.code},
                             {"message", reason.message},
                             {"verdict", to_string(reason.run)},
                             {"retry_after_ms", reason.retry_after.count()},
                             {"request_id", request_id}};
    return json::serialize(json::object{{"error", error}});
}

http_response refusal_response(int status, const refusal& reason, const std::string& request_id)
{
    auto response = json_response(status, error_body(reason, request_id));
    response.headers.push_back({"X-Verdict", std::string{to_string(reason.run)}});
    if (!request_id.empty()) {
        response.headers.push_back({"X-Request-Id", request_id});
    }
    if (reason.retry_after.count() > 0) {
        // Retry-After is in whole seconds; rounding down would make callers retry too early.
        const auto seconds = (reason.retry_after.count() + 999) / 1000;
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return response;
}

http_response error_response(const api_error& error, const std::string& request_id)
{
    const refusal reason{verdict::not_run, error.code, error.message, {}};
    return refusal_response(error.status, reason, request_id);
}

int status_of_refusal(const std::string& code)
{
    struct row {
        std::string_view code;
        int status;
    };
    constexpr row rows[] = {{"account-limit", 429},   {"too-many-keys", 429},
                            {"bad-key", 400},         {"key-reused", 409},
                            {"in-progress", 409},     {"other-instance", 421},
                            {"key-holder-gone", 409}, {"key-expired", 409},
                            {"outcome-unknown", 409}, {"outcome-lost", 409}};
    constexpr int unavailable = 503;
    for (const auto& it : rows) {
        if (it.code == code) {
            return it.status;
        }
    }
    return unavailable;
}

} // namespace almondline::entry
