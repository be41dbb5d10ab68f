#include "gateway/internal/credit_request.h"

#include "gateway/internal/durations.h"
#include "gateway/internal/request_times.h"
#include "scheduling/types/token_cost.h"

#include <algorithm>
#include <utility>

namespace almondline::gateway {

namespace {

constexpr double unsized_call_cost = 1;

double allowance_cost(const request_state& request)
{
    const auto* account = request.account;
    if (account == nullptr) {
        return 0;
    }
    const auto& size = request.received.size;
    if (!size || !account->is_allowance_by_size) {
        return account->allowance_per_call;
    }
    return size->prompt_tokens + size->max_output_tokens;
}

/// Returns the time until which the request waits for a credit.
steady_time credit_deadline(const request_flow& flow)
{
    const auto& context = flow.context;
    const auto& request = flow.request;
    const auto latest = latest_dispatch(request, context.answer_times, context.stop);
    if (request.route->kind != route_kind::stream || has_started(flow.answer)) {
        return latest;
    }
    const auto event_timeout = context.protocol.stream_event_timeout(*request.route);
    return std::min(latest,
                    request.started + scaled(event_timeout, context.limits.queue_share_of_timeout));
}

/// Returns the servers that the request must not go to.
std::vector<std::string> excluded_servers(const request_flow& flow)
{
    auto out = flow.credits.excluded;
    for (const auto& it : flow.attempts.current) {
        out.push_back(it.credit.backend_id);
    }
    const auto in_backoff =
        replicas_in_backoff(flow.context.replicas, flow.request.service, flow.context.clock.now());
    out.insert(out.end(), in_backoff.begin(), in_backoff.end());
    return out;
}

void add_size(scheduling::credit_request& out, const call& received)
{
    out.cost = unsized_call_cost;
    if (!received.size) {
        return;
    }
    out.prompt_tokens = received.size->prompt_tokens;
    out.output_tokens = received.expected_output_tokens.value_or(received.size->max_output_tokens);
    out.cost = scheduling::token_cost(out.prompt_tokens, out.output_tokens);
}

} // namespace

scheduling::credit_request make_credit_request(const request_flow& flow, std::string credit_id)
{
    const auto& request = flow.request;
    const auto& route = *request.route;
    scheduling::credit_request out;
    out.request_id = std::move(credit_id);
    out.account = account_name(request);
    out.tier = tier_of(*request.routes->content,
                       request.account == nullptr ? 0 : request.account->urgency, route.urgency);
    out.model = request.received.model;
    out.arrived = request.started;
    out.deadline = credit_deadline(flow);
    out.complete_by = request.deadline;
    out.dispatch_by = request.started +
                      scaled(route.target_latency, 1 - flow.context.limits.server_share_of_target);
    out.excluded = excluded_servers(flow);
    out.fingerprints = request.fingerprints;
    out.prefix_blocks = request.received.prefix_blocks;
    out.prefix_tokens = request.received.prefix_tokens;
    add_size(out, request.received);
    out.allowance_cost = allowance_cost(request);
    return out;
}

} // namespace almondline::gateway
