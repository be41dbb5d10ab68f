#include "gateway/internal/credit_release.h"

#include "gateway/internal/attempt_results.h"
#include "gateway/internal/durations.h"
#include "scheduling/types/token_cost.h"

#include <algorithm>

namespace almondline::gateway {

namespace {

granting::release_outcome outcome_of(const server_attempt& attempt)
{
    using granting::release_outcome;
    switch (end_of(attempt)) {
    case attempt_end::completed:
        return release_outcome::finished;
    case attempt_end::failure_reply:
        return has_server_error(attempt) ? release_outcome::failed : release_outcome::cancelled;
    case attempt_end::not_run:
    case attempt_end::broken:
    case attempt_end::timed_out:
        return release_outcome::failed;
    case attempt_end::unreachable:
        return release_outcome::unreachable;
    case attempt_end::stopped:
        return is_sent(attempt) ? release_outcome::cancelled : release_outcome::not_dispatched;
    }
    return release_outcome::failed;
}

/// A response of another server shows that the request does not crash those that run it.
bool is_crash_refuted(const request_attempts& attempts, const server_attempt& attempt)
{
    return std::any_of(attempts.current.begin(), attempts.current.end(),
                       [&](const auto& it) { return has_delivered(it) && &it != &attempt; });
}

} // namespace

void release_credit(gateway_context& context, const request_state& request,
                    const request_attempts& attempts, server_attempt& attempt)
{
    if (!has_credit(attempt)) {
        return;
    }
    attempt.stage = attempt_stage::released;
    granting::release_report report;
    report.outcome = outcome_of(attempt);
    report.duration = since(attempt.dispatched, context.clock.now());
    report.is_server_leaving = attempt.is_server_leaving;
    if (attempt.has_server_crashed && !is_crash_refuted(attempts, attempt)) {
        report.crash_suspects = request.fingerprints;
    }
    if (request.received.size) {
        const auto events = static_cast<double>(attempt.events.count());
        const auto* service = find_service(*request.routes->content, attempt.service);
        report.prompt_tokens = request.received.size->prompt_tokens;
        report.output_tokens = events * (service == nullptr ? 1 : service->tokens_per_event);
        report.actual_cost = scheduling::token_cost(report.prompt_tokens, report.output_tokens);
    }
    if (attempt.first_event != steady_time{}) {
        report.first_token = since(attempt.dispatched, attempt.first_event);
    }
    context.credits.release(attempt.credit.request_id, report);
}

} // namespace almondline::gateway
