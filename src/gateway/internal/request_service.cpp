#include "gateway/internal/request_service.h"

#include <algorithm>
#include <utility>

namespace almondline::gateway {

namespace {

const route_policy* route_in(const route_table& table, const request_state& request)
{
    return find_route(table, request.received.host, target_path(request.received.message.target));
}

} // namespace

void assign_service(request_state& request, const route_policy& route, std::mt19937_64& random)
{
    const double draw = std::uniform_real_distribution<double>{0, 1}(random);
    request.service = choose_service(route, draw);
}

bool has_left_service(const request_state& request, const route_table& current)
{
    const auto* route = route_in(current, request);
    if (route == nullptr) {
        // A request that was admitted may still run where its route led.
        return find_service(*current.content, request.service) == nullptr;
    }
    const auto& services = route->services;
    return std::none_of(services.begin(), services.end(),
                        [&](const auto& it) { return it.service == request.service; });
}

bool follow_manifest(request_state& request, std::shared_ptr<const route_table> current,
                     std::mt19937_64& random)
{
    if (!has_left_service(request, *current)) {
        return true;
    }
    const auto* route = route_in(*current, request);
    if (route == nullptr) {
        return false;
    }
    // Only the service changes. What may be repeated, how often and for how long stays as it was
    // when the request was admitted.
    request.routes = std::move(current);
    assign_service(request, *route, random);
    return true;
}

} // namespace almondline::gateway
