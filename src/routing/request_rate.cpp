#include "routing/request_rate.h"

namespace almondline::routing {

bool update_rate(std::optional<named_rate>& rate, std::optional<double> per_second,
                 steady_time sent, steady_time now)
{
    if (per_second) {
        const bool is_changed = !rate || rate->per_second != *per_second;
        rate = named_rate{*per_second, now};
        return is_changed;
    }
    if (!rate || sent < rate->named) {
        return false;
    }
    rate.reset();
    return true;
}

} // namespace almondline::routing
