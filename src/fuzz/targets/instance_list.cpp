#include "fuzz/invariant.h"
#include "fuzz/targets.h"
#include "store/http_instance_list.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace almondline::fuzz {

namespace {

std::string write_list(const std::vector<listed_instance>& instances)
{
    boost::json::array list;
    for (const auto& it : instances) {
        list.push_back({{"id", it.id},
                        {"role", it.role == instance_role::entry ? "entry" : "backend"},
                        {"service", it.service},
                        {"engine_class", it.engine_class},
                        {"address", it.address},
                        {"peer_address", it.peer_address},
                        {"failure_domain", it.failure_domain},
                        {"state", it.is_leaving ? "leaving" : "live"}});
    }
    const boost::json::object body{{"instances", std::move(list)}};
    return boost::json::serialize(body);
}

} // namespace

void fuzz_instance_list(std::string_view input)
{
    const auto result = parse_instance_list(input);
    if (!result.is_ok) {
        require(!result.message.empty() && result.instances.empty(),
                "a rejected list has a message and no instances");
        return;
    }
    for (const auto& it : result.instances) {
        ip_endpoint endpoint;
        require(!it.id.empty() && parse_endpoint(it.address, endpoint),
                "an instance has an id and a valid address");
        require(it.peer_address.empty() || parse_endpoint(it.peer_address, endpoint),
                "a peer address is empty or valid");
    }
    const auto text = write_list(result.instances);
    const auto again = parse_instance_list(text);
    require(again.is_ok && write_list(again.instances) == text,
            "a formatted list parses to the same list");
}

} // namespace almondline::fuzz
