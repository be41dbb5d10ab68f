#include "gateway/internal/held_response.h"

#include <algorithm>
#include <utility>

namespace almondline::gateway {

bool reserve_memory(server_attempt& attempt, std::size_t held_bytes, const flow_limits& limits)
{
    const auto unreserved = std::min(held_bytes, limits.unreserved_response_bytes);
    return attempt.response_memory.resize(held_bytes - unreserved);
}

void drop_response(server_attempt& attempt)
{
    attempt.connection.reset();
    attempt.response.body = {};
    attempt.received = {};
    attempt.unforwarded = {};
    attempt.events.drop_incomplete();
    attempt.response_memory.resize(0);
}

void break_off(server_attempt& attempt, std::string cause)
{
    drop_response(attempt);
    if (!is_superseded(attempt)) {
        attempt.result = attempt_end::broken;
        attempt.cause = std::move(cause);
    }
}

} // namespace almondline::gateway
