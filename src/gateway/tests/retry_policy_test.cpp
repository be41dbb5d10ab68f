#include "gateway/retry_policy.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace almondline;
using namespace almondline::gateway;

namespace {

struct policy_case {
    std::string name;
    attempt_facts facts;
    next_step expected = next_step::answer;
    bool needs_budget = false;
};

attempt_facts make_facts(attempt_end end, route_kind kind, int servers_reached, int max_attempts)
{
    attempt_facts out;
    out.end = end;
    out.kind = kind;
    out.servers_reached = servers_reached;
    out.max_attempts = max_attempts;
    return out;
}

attempt_facts started_stream(attempt_end end, bool is_resumable, bool has_event_ids)
{
    auto out = make_facts(end, route_kind::stream, 1, 2);
    out.has_started = true;
    out.is_resumable = is_resumable;
    out.has_event_ids = has_event_ids;
    return out;
}

attempt_facts server_error(route_kind kind)
{
    auto out = make_facts(attempt_end::failure_reply, kind, 1, 2);
    out.is_server_error = true;
    return out;
}

attempt_facts without_time(attempt_facts facts)
{
    facts.has_time = false;
    return facts;
}

attempt_facts after_unreachable(int servers)
{
    auto out = make_facts(attempt_end::unreachable, route_kind::non_idempotent, 0, 1);
    out.unreachable_servers = servers;
    return out;
}

} // namespace

// A wrong row here runs a job twice, gives up one that could be saved, or joins two runs.
TEST_CASE("the next step follows from the end of the attempt and from what may be repeated")
{
    using e = attempt_end;
    using k = route_kind;
    using n = next_step;
    const std::vector<policy_case> cases{
        {"done", make_facts(e::completed, k::idempotent, 1, 2), n::answer, false},
        {"lost, idempotent", make_facts(e::broken, k::idempotent, 1, 2), n::try_elsewhere, true},
        {"silent, idempotent", make_facts(e::silent, k::idempotent, 1, 2), n::try_elsewhere, true},
        {"lost, idempotent, out of attempts", make_facts(e::broken, k::idempotent, 2, 2), n::answer,
         false},
        {"lost, idempotent, out of time", without_time(make_facts(e::broken, k::idempotent, 1, 2)),
         n::answer, false},
        {"lost, non-idempotent", make_facts(e::broken, k::non_idempotent, 1, 2), n::answer, false},
        {"lost, stream that can't be resumed", make_facts(e::broken, k::stream, 1, 2), n::answer,
         false},
        {"refused by the server", make_facts(e::not_run, k::non_idempotent, 1, 2), n::try_elsewhere,
         true},
        {"refused by the server, one attempt", make_facts(e::not_run, k::non_idempotent, 1, 1),
         n::answer, false},
        {"never sent", after_unreachable(1), n::try_elsewhere, false},
        {"never sent, many servers tried", after_unreachable(max_unreachable_servers), n::answer,
         false},
        {"server error, idempotent", server_error(k::idempotent), n::try_elsewhere, true},
        {"server error, non-idempotent", server_error(k::non_idempotent), n::answer, false},
        {"caller's own fault", make_facts(e::failure_reply, k::idempotent, 1, 2), n::answer, false},
        {"cut stream, resumable", started_stream(e::broken, true, true), n::resume, true},
        {"cut stream without event ids", started_stream(e::broken, true, false), n::cut, false},
        {"cut stream, not resumable", started_stream(e::broken, false, true), n::cut, false},
        {"resumption refused", started_stream(e::not_run, true, true), n::resume, true},
        {"stopped stream", started_stream(e::stopped, true, true), n::cut, false},
    };
    for (const auto& it : cases) {
        CAPTURE(it.name);
        const auto step = decide_next(it.facts);
        CHECK(step == it.expected);
        CHECK(needs_retry_budget(it.facts, step) == it.needs_budget);
    }
}
