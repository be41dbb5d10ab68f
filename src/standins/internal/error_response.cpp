#include "standins/internal/error_response.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace almondline::standins {

namespace json = boost::json;

http_response error_response(int status, std::string_view message)
{
    json::object error;
    error["message"] = message;
    json::object body;
    body["error"] = std::move(error);
    return json_response(status, json::serialize(body));
}

} // namespace almondline::standins
