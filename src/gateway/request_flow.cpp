#include "gateway/request_flow.h"

#include "gateway/internal/attempt_results.h"
#include "gateway/internal/attempt_run.h"
#include "gateway/internal/credit_acquisition.h"
#include "gateway/internal/durations.h"
#include "gateway/internal/final_response.h"
#include "gateway/internal/guarded_work.h"
#include "gateway/internal/hedging.h"
#include "gateway/internal/request_admission.h"
#include "gateway/internal/request_end.h"
#include "gateway/internal/request_entry.h"
#include "gateway/internal/request_flow_state.h"
#include "gateway/internal/request_service.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <utility>

namespace almondline::gateway {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace {

call receive(const call_protocol& protocol, http_exchange& exchange)
{
    auto body = exchange.take_body();
    auto request = exchange.request();
    request.body = std::move(body);
    return protocol.decode(std::move(request));
}

/// Acquires a confirmed credit and prepares the first attempt of a round with it. Returns null if
/// the request was refused.
asio::awaitable<server_attempt*> start_round(request_flow& flow)
{
    while (true) {
        auto result = co_await request_credit(flow, flow.request.received.attempt_id);
        if (!result.granted) {
            flow.answer.retry_barrier = result.reason.code;
            flow.answer.refused = std::move(result.reason);
            co_return nullptr;
        }
        if (confirm_credit(flow.context, flow.credits, *result.granted)) {
            keep_responses(flow.attempts, flow.answer);
            co_return &add_attempt(flow, std::move(*result.granted));
        }
        return_unused(flow.context, *result.granted);
    }
}

void note_round_time(request_flow& flow)
{
    const auto* attempt = decisive_attempt(flow.attempts);
    if (attempt == nullptr || attempt->result != attempt_end::completed) {
        return;
    }
    const auto now = flow.context.clock.now();
    const auto first = attempt->first_event == steady_time{} ? now : attempt->first_event;
    const auto* service = find_service(*flow.request.routes->content, attempt->service);
    const double tokens_per_event = service == nullptr ? 0 : service->tokens_per_event;
    note_answer_time(flow.context.answer_times, flow.request.route->name,
                     {since(attempt->dispatched, first), since(first, now),
                      static_cast<double>(attempt->events.count()) * tokens_per_event},
                     now);
}

void log_retry(const request_flow& flow, const server_attempt& last)
{
    const auto& id = flow.request.received.attempt_id;
    flow.context.decisions.add(id, log_level::info, "retry",
                               {{"request", id},
                                {"backend", last.credit.backend_id},
                                {"end", to_string(end_of(last))},
                                {"cause", last.cause},
                                {"after_event", flow.answer.last_event_id}});
}

/// Decides whether another round of attempts follows.
bool plan_next(request_flow& flow)
{
    auto& context = flow.context;
    const auto& service = flow.request.service;
    const auto* last = decisive_attempt(flow.attempts);
    const auto facts = make_facts(flow, last);
    const auto step = decide_next(facts);
    if (step == next_step::answer || step == next_step::abort) {
        flow.answer.retry_barrier = retry_barrier(facts);
        return false;
    }
    if (needs_retry_budget(facts, step) &&
        !consume_retry(context.retries, service, context.instance_count(), context.clock.now())) {
        context.metrics.add("almondline_retries_refused_total", {{"service", service}});
        flow.answer.retry_barrier = "retry-budget";
        return false;
    }
    context.metrics.add("almondline_retries_total", {{"service", service}});
    log_retry(flow, *last);
    return true;
}

asio::awaitable<void> serve(request_flow& flow)
{
    bool is_planned = true;
    while (is_planned) {
        auto* first = co_await start_round(flow);
        if (first == nullptr) {
            co_return;
        }
        co_await run_hedged(flow, *first);
        note_round_time(flow);
        is_planned = flow.answer.stopped == stop_cause::none && plan_next(flow);
    }
}

/// Serves an admitted request until its response is complete, its caller leaves or its time is up.
asio::awaitable<void> serve_until_end(request_flow& flow)
{
    auto& context = flow.context;
    const request_entry listed{context.in_progress, flow};
    const error_handler on_error = [&flow](const std::string& reason) {
        fail_request(flow, reason);
    };
    const auto first = co_await (run_guarded(serve(flow), on_error) ||
                                 flow.exchange.wait_closed() || wait_for_end(flow));
    if (first.index() == 1) {
        stop_request(flow, stop_cause::caller_left);
    }
    else if (first.index() == 2) {
        const bool is_time_up = context.clock.now() >= flow.request.deadline;
        stop_request(flow, is_time_up ? stop_cause::time_up : stop_cause::instance_stops);
    }
    co_await finish(flow);
}

} // namespace

asio::awaitable<void> run_request(gateway_context& context, http_exchange& exchange)
{
    const auto executor = co_await asio::this_coro::executor;
    request_flow flow{context, exchange, asio::steady_timer{executor},
                      request_attempts{asio::steady_timer{executor}}};
    auto& request = flow.request;
    request.started = context.clock.now();
    request.deadline = request.started;
    request.received = receive(context.protocol, exchange);
    if (is_stopping(context.stop)) {
        exchange.close_after_response();
    }
    auto refused = admit(context, request);
    if (refused) {
        co_await refuse(flow, std::move(*refused));
        co_return;
    }
    note_request(context.retries, request.service, request.started);
    co_await serve_until_end(flow);
}

void note_manifest_change(request_flow& flow)
{
    if (has_left_service(flow.request, *flow.context.routes())) {
        flow.context.credits.refuse_waiting(flow.credits.awaited);
    }
}

void note_instance_stop(request_flow& flow)
{
    if (!has_started(flow.answer)) {
        flow.exchange.close_after_response();
    }
    update_end(flow);
}

} // namespace almondline::gateway
