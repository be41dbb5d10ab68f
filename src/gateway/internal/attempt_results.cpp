#include "gateway/internal/attempt_results.h"

#include "gateway/internal/forwarding_headers.h"
#include "gateway/internal/request_times.h"

namespace almondline::gateway {

namespace {

constexpr int first_server_error = 500;

} // namespace

attempt_end end_of(const server_attempt& attempt)
{
    return attempt.result.value_or(attempt_end::stopped);
}

bool has_server_error(const server_attempt& attempt)
{
    return attempt.response.status >= first_server_error;
}

bool has_response_of_server(const server_attempt& attempt)
{
    if (attempt.result == attempt_end::failure_reply) {
        return !is_not_run_status(attempt.response.status);
    }
    return attempt.result == attempt_end::completed;
}

attempt_facts make_facts(const request_flow& flow, const server_attempt* attempt)
{
    const auto& context = flow.context;
    const auto& route = *flow.request.route;
    attempt_facts out;
    if (attempt != nullptr) {
        out.end = end_of(*attempt);
        out.is_server_error = has_server_error(*attempt);
    }
    out.kind = route.kind;
    out.is_resumable = route.is_resumable;
    out.has_started = has_started(flow.answer);
    out.has_event_ids = flow.answer.last_event_id > 0;
    out.servers_reached = flow.attempts.servers_reached;
    out.max_attempts = route.max_attempts;
    out.unreachable_servers = flow.attempts.unreachable_servers;
    out.has_time = time_left(flow.request, context.clock.now()) > context.limits.min_attempt_time;
    return out;
}

server_attempt* decisive_attempt(request_attempts& attempts)
{
    server_attempt* out = nullptr;
    for (auto& it : attempts.current) {
        if (is_superseded(it)) {
            continue;
        }
        if (has_delivered(it)) {
            return &it;
        }
        if (out == nullptr || is_more_conclusive(end_of(it), end_of(*out))) {
            out = &it;
        }
    }
    return out;
}

server_attempt* final_attempt(request_attempts& attempts, const caller_answer& answer)
{
    auto* last = decisive_attempt(attempts);
    const bool has_response = last != nullptr && has_response_of_server(*last);
    return has_response || has_started(answer) || attempts.answered.empty()
               ? last
               : &attempts.answered.back();
}

void keep_responses(request_attempts& attempts, const caller_answer& answer)
{
    auto& current = attempts.current;
    for (auto it = current.begin(); it != current.end();) {
        const auto ended = it++;
        if (!has_started(answer) && has_response_of_server(*ended)) {
            attempts.answered.splice(attempts.answered.end(), current, ended);
        }
    }
    current.clear();
}

} // namespace almondline::gateway
