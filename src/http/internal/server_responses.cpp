#include "http/internal/server_responses.h"

namespace almondline::http_internal {

http_response body_budget_exceeded_response()
{
    auto response = json_response(
        503, R"({"error":{"code":"too-many-bytes","message":"too many request bodies in progress",)"
             R"("verdict":"not-run","retry_after_ms":1000}})");
    response.headers.push_back({"X-Verdict", "not-run"});
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

http_response stopping_response()
{
    auto response =
        json_response(503, R"({"error":{"code":"stopping","message":"this instance is stopping",)"
                           R"("verdict":"not-run","retry_after_ms":1}})");
    response.headers.push_back({"X-Verdict", "not-run"});
    response.headers.push_back({"Retry-After", "0.001"});
    return response;
}

http_response internal_error_response()
{
    auto response = json_response(
        500, R"({"error":{"code":"internal-error","message":"the request could not be handled",)"
             R"("verdict":"may-have-run"}})");
    response.headers.push_back({"X-Verdict", "may-have-run"});
    return response;
}

} // namespace almondline::http_internal
