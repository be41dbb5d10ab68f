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

// A wrong decision runs a job twice, fails a job that could be retried, or joins the output of two
// runs.
TEST_CASE("decide_next chooses the next step from the end of the attempt and the kind of the route")
{
    using e = attempt_end;
    using k = route_kind;
    using n = next_step;
    const std::vector<policy_case> cases{
        {"completed", make_facts(e::completed, k::idempotent, 1, 2), n::answer, false},
        {"broken, idempotent", make_facts(e::broken, k::idempotent, 1, 2), n::try_another_server,
         true},
        {"timed out, idempotent", make_facts(e::timed_out, k::idempotent, 1, 2),
         n::try_another_server, true},
        {"broken, idempotent, no attempts left", make_facts(e::broken, k::idempotent, 2, 2),
         n::answer, false},
        {"broken, idempotent, no time left",
         without_time(make_facts(e::broken, k::idempotent, 1, 2)), n::answer, false},
        {"broken, non-idempotent", make_facts(e::broken, k::non_idempotent, 1, 2), n::answer,
         false},
        {"broken, stream that can't be resumed", make_facts(e::broken, k::stream, 1, 2), n::answer,
         false},
        {"refused by the server", make_facts(e::not_run, k::non_idempotent, 1, 2),
         n::try_another_server, true},
        {"refused by the server, one attempt", make_facts(e::not_run, k::non_idempotent, 1, 1),
         n::answer, false},
        {"unreachable", after_unreachable(1), n::try_another_server, false},
        {"unreachable, too many servers tried", after_unreachable(max_unreachable_servers),
         n::answer, false},
        {"server error, idempotent", server_error(k::idempotent), n::try_another_server, true},
        {"server error, non-idempotent", server_error(k::non_idempotent), n::answer, false},
        {"error caused by the caller", make_facts(e::failure_reply, k::idempotent, 1, 2), n::answer,
         false},
        {"broken stream, resumable", started_stream(e::broken, true, true), n::resume, true},
        {"broken stream without event ids", started_stream(e::broken, true, false), n::abort,
         false},
        {"broken stream, not resumable", started_stream(e::broken, false, true), n::abort, false},
        {"resumption refused", started_stream(e::not_run, true, true), n::resume, true},
        {"stopped stream", started_stream(e::stopped, true, true), n::abort, false},
    };
    for (const auto& it : cases) {
        CAPTURE(it.name);
        const auto step = decide_next(it.facts);
        CHECK(step == it.expected);
        CHECK(needs_retry_budget(it.facts, step) == it.needs_budget);
    }
}

TEST_CASE("the log tells why no other attempt followed")
{
    struct barrier_case {
        attempt_facts facts;
        std::string expected;
    };
    using enum attempt_end;
    const std::vector<barrier_case> cases{
        {make_facts(completed, route_kind::idempotent, 1, 2), ""},
        {make_facts(broken, route_kind::idempotent, 1, 2), ""},
        {make_facts(broken, route_kind::idempotent, 2, 2), "attempts-used"},
        {make_facts(broken, route_kind::non_idempotent, 1, 2), "not-repeatable"},
        {make_facts(not_run, route_kind::non_idempotent, 1, 1), "attempts-used"},
        {make_facts(failure_reply, route_kind::idempotent, 1, 2), ""},
        {make_facts(stopped, route_kind::idempotent, 1, 2), "stopped"},
        {started_stream(timed_out, true, true), ""},
        {started_stream(timed_out, true, false), "no-event-id"},
        {started_stream(timed_out, false, true), "not-repeatable"},
        {without_time(make_facts(timed_out, route_kind::idempotent, 1, 2)), "no-time"},
        {after_unreachable(max_unreachable_servers), "servers-unreachable"},
    };
    for (const auto& it : cases) {
        CAPTURE(it.expected);
        CHECK(retry_barrier(it.facts) == it.expected);
    }
}

// A request that no server could be reached for went on asking others while its first server was
// silent.
TEST_CASE("another server is asked beside silent ones as long as the route allows it")
{
    auto facts = make_facts(attempt_end::stopped, route_kind::idempotent, 1, 2);
    CHECK(may_ask_another(facts));
    facts.unreachable_servers = max_unreachable_servers;
    CHECK_FALSE(may_ask_another(facts));
    CHECK_FALSE(may_ask_another(make_facts(attempt_end::stopped, route_kind::idempotent, 2, 2)));
    CHECK_FALSE(
        may_ask_another(make_facts(attempt_end::stopped, route_kind::non_idempotent, 1, 2)));
    CHECK_FALSE(may_ask_another(
        without_time(make_facts(attempt_end::stopped, route_kind::idempotent, 1, 2))));
    CHECK(may_ask_another(started_stream(attempt_end::stopped, true, true)));
    CHECK_FALSE(may_ask_another(started_stream(attempt_end::stopped, true, false)));
    CHECK_FALSE(may_ask_another(started_stream(attempt_end::stopped, false, true)));
}

// An error of one server ended the request although another one still had it.
TEST_CASE("only a response that no other server can better is final")
{
    CHECK(is_final_response(make_facts(attempt_end::completed, route_kind::idempotent, 2, 2)));
    auto error = server_error(route_kind::idempotent);
    error.servers_reached = error.max_attempts;
    CHECK_FALSE(is_final_response(error));
    auto refusal = make_facts(attempt_end::failure_reply, route_kind::idempotent, 1, 2);
    CHECK(is_final_response(refusal));
    refusal.has_started = true;
    CHECK_FALSE(is_final_response(refusal));
    CHECK_FALSE(is_final_response(make_facts(attempt_end::broken, route_kind::idempotent, 2, 2)));
}

TEST_CASE("the most conclusive of several failures decides the next step")
{
    using e = attempt_end;
    const std::vector<attempt_end> order{e::stopped, e::unreachable,   e::not_run,  e::timed_out,
                                         e::broken,  e::failure_reply, e::completed};
    for (std::size_t i = 0; i < order.size(); ++i) {
        for (std::size_t k = 0; k < order.size(); ++k) {
            CHECK(is_more_conclusive(order[i], order[k]) == (i > k));
        }
    }
}
