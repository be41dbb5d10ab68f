#include "gateway/retry_policy.h"

namespace almondline::gateway {

namespace {

next_step after_loss(const attempt_facts& facts)
{
    const bool may_repeat = may_run_again(facts.kind, facts.is_resumable) && facts.has_time &&
                            facts.servers_reached < facts.max_attempts;
    if (!facts.has_started) {
        return may_repeat ? next_step::try_elsewhere : next_step::answer;
    }
    return may_repeat && facts.has_event_ids ? next_step::resume : next_step::cut;
}

} // namespace

bool may_run_again(route_kind kind, bool is_resumable)
{
    return kind == route_kind::idempotent || (kind == route_kind::stream && is_resumable);
}

next_step decide_next(const attempt_facts& facts)
{
    const bool may_reach_another = facts.has_time && facts.servers_reached < facts.max_attempts;
    const auto elsewhere = facts.has_started ? next_step::resume : next_step::try_elsewhere;
    const auto give_up = facts.has_started ? next_step::cut : next_step::answer;
    switch (facts.end) {
    case attempt_end::completed:
        return next_step::answer;
    case attempt_end::stopped:
        return give_up;
    case attempt_end::unreachable: {
        const bool is_tried = facts.unreachable_servers >= max_unreachable_servers;
        return facts.has_time && !is_tried ? elsewhere : give_up;
    }
    case attempt_end::not_run:
        return may_reach_another ? elsewhere : give_up;
    case attempt_end::failure_reply:
        return facts.is_server_error || facts.has_started ? after_loss(facts) : next_step::answer;
    case attempt_end::broken:
    case attempt_end::silent:
        return after_loss(facts);
    }
    return give_up;
}

bool needs_retry_budget(const attempt_facts& facts, next_step step)
{
    const bool is_sent_again = step == next_step::try_elsewhere || step == next_step::resume;
    return is_sent_again && facts.servers_reached > 0;
}

} // namespace almondline::gateway
