#include "gateway/retry_policy.h"

namespace almondline::gateway {

namespace {

next_step step_after_failure(const attempt_facts& facts)
{
    const bool may_retry = may_run_again(facts.kind, facts.is_resumable) && facts.has_time &&
                           facts.servers_reached < facts.max_attempts;
    if (!facts.has_started) {
        return may_retry ? next_step::try_another_server : next_step::answer;
    }
    return may_retry && facts.has_event_ids ? next_step::resume : next_step::abort;
}

int rank(attempt_end end)
{
    switch (end) {
    case attempt_end::completed:
        return 6;
    case attempt_end::failure_reply:
        return 5;
    case attempt_end::broken:
        return 4;
    case attempt_end::timed_out:
        return 3;
    case attempt_end::not_run:
        return 2;
    case attempt_end::unreachable:
        return 1;
    case attempt_end::stopped:
        return 0;
    }
    return 0;
}

} // namespace

std::string_view to_string(attempt_end end)
{
    switch (end) {
    case attempt_end::completed:
        return "completed";
    case attempt_end::failure_reply:
        return "failure-reply";
    case attempt_end::not_run:
        return "refused-by-server";
    case attempt_end::unreachable:
        return "unreachable";
    case attempt_end::broken:
        return "broken";
    case attempt_end::timed_out:
        return "silent";
    case attempt_end::stopped:
        return "stopped";
    }
    return "stopped";
}

bool may_run_again(route_kind kind, bool is_resumable)
{
    return kind == route_kind::idempotent || (kind == route_kind::stream && is_resumable);
}

bool is_final_response(const attempt_facts& facts)
{
    const bool is_refusal = facts.end == attempt_end::failure_reply && !facts.is_server_error;
    return facts.end == attempt_end::completed || (is_refusal && !facts.has_started);
}

next_step decide_next(const attempt_facts& facts)
{
    const bool may_reach_another = facts.has_time && facts.servers_reached < facts.max_attempts;
    const auto next_attempt = facts.has_started ? next_step::resume : next_step::try_another_server;
    const auto final_step = facts.has_started ? next_step::abort : next_step::answer;
    switch (facts.end) {
    case attempt_end::completed:
        return next_step::answer;
    case attempt_end::stopped:
        return final_step;
    case attempt_end::unreachable: {
        const bool is_exhausted = facts.unreachable_servers >= max_unreachable_servers;
        return facts.has_time && !is_exhausted ? next_attempt : final_step;
    }
    case attempt_end::not_run:
        return may_reach_another ? next_attempt : final_step;
    case attempt_end::failure_reply:
        return is_final_response(facts) ? next_step::answer : step_after_failure(facts);
    case attempt_end::broken:
    case attempt_end::timed_out:
        return step_after_failure(facts);
    }
    return final_step;
}

bool may_ask_another(attempt_facts facts)
{
    facts.end = attempt_end::timed_out;
    const auto step = decide_next(facts);
    const bool is_allowed = step == next_step::try_another_server || step == next_step::resume;
    return is_allowed && facts.unreachable_servers < max_unreachable_servers;
}

bool is_more_conclusive(attempt_end end, attempt_end other)
{
    return rank(end) > rank(other);
}

std::string_view retry_barrier(const attempt_facts& facts)
{
    const auto step = decide_next(facts);
    if (is_final_response(facts) || step == next_step::try_another_server ||
        step == next_step::resume) {
        return {};
    }
    if (facts.end == attempt_end::stopped) {
        return "stopped";
    }
    if (!facts.has_time) {
        return "no-time";
    }
    if (facts.end == attempt_end::unreachable) {
        return "servers-unreachable";
    }
    if (facts.end != attempt_end::not_run && !may_run_again(facts.kind, facts.is_resumable)) {
        return "not-repeatable";
    }
    return facts.servers_reached >= facts.max_attempts ? "attempts-used" : "no-event-id";
}

bool needs_retry_budget(const attempt_facts& facts, next_step step)
{
    const bool is_sent_again = step == next_step::try_another_server || step == next_step::resume;
    return is_sent_again && facts.servers_reached > 0;
}

} // namespace almondline::gateway
