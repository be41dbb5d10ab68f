#include "gateway/internal/stop_cause.h"

namespace almondline::gateway {

std::string_view describe(stop_cause cause)
{
    switch (cause) {
    case stop_cause::none:
        return "";
    case stop_cause::caller_left:
        return "the caller disconnected";
    case stop_cause::time_up:
        return "the time of the route or of the caller is up";
    case stop_cause::instance_stops:
        return "this instance is stopping";
    }
    return "";
}

} // namespace almondline::gateway
