#include "gateway/internal/attempt_claim.h"

#include "gateway/internal/attempt_silence.h"

namespace almondline::gateway {

namespace {

void supersede(request_attempts& attempts, server_attempt& attempt, const server_attempt& winner,
               steady_time now)
{
    attempt.cause = describe_silence(attempt, now) + ", " + winner.credit.backend_id + " delivered";
    // The first to fall silent counts as failed; one that was asked since has had no time.
    attempt.result = is_silent(attempt, now) ? attempt_end::timed_out : attempt_end::stopped;
    attempt.delivered = delivery::superseded;
    attempts.may_have_run = attempts.may_have_run || is_sent(attempt);
    if (attempt.connection) {
        attempt.connection->close();
    }
}

} // namespace

bool claim(request_attempts& attempts, server_attempt& attempt, steady_time now)
{
    if (is_superseded(attempt)) {
        return false;
    }
    for (auto& it : attempts.current) {
        if (&it == &attempt) {
            it.delivered = delivery::latest;
        }
        else if (is_running(it)) {
            supersede(attempts, it, attempt, now);
        }
        else if (has_delivered(it)) {
            it.delivered = delivery::none;
        }
    }
    if (attempts.is_reserving) {
        attempts.changed.cancel();
    }
    return true;
}

} // namespace almondline::gateway
