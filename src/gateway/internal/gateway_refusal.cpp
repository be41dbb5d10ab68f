#include "gateway/internal/gateway_refusal.h"

#include "granting/types/credit.h"

#include <chrono>
#include <utility>

namespace almondline::gateway {

namespace {

verdict verdict_of(bool may_have_run)
{
    return may_have_run ? verdict::may_have_run : verdict::not_run;
}

int status_of(const refusal& reason)
{
    return reason.code == granting::code_allowance ? 429 : 503;
}

} // namespace

gateway_refusal refuse_time_up(bool may_have_run, const flow_limits& limits)
{
    refusal reason{verdict_of(may_have_run), "time-up", std::string{describe(stop_cause::time_up)},
                   limits.default_retry_after};
    return {may_have_run ? 504 : 503, std::move(reason)};
}

gateway_refusal refuse_stopping(bool may_have_run)
{
    refusal reason{verdict_of(may_have_run), "stopping",
                   std::string{describe(stop_cause::instance_stops)}, std::chrono::milliseconds{1}};
    return {may_have_run ? 502 : 503, std::move(reason)};
}

gateway_refusal refuse_unanswered(bool may_have_run, refusal reason)
{
    if (may_have_run) {
        reason.run = verdict::may_have_run;
        return {502, std::move(reason)};
    }
    const int status = status_of(reason);
    return {status, std::move(reason)};
}

} // namespace almondline::gateway
