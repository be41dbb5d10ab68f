#include "gateway/internal/final_response.h"

#include "gateway/internal/attempt_results.h"
#include "gateway/internal/durations.h"
#include "gateway/internal/forwarding_headers.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

namespace almondline::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Returns a time in milliseconds for the log, -1 if there is none.
std::int64_t to_field(std::optional<milliseconds> time)
{
    return time ? time->count() : -1;
}

/// Returns the time from the arrival of a request to a point, if that was reached.
std::optional<milliseconds> time_until(const request_state& request,
                                       std::optional<steady_time> reached)
{
    return reached ? std::optional{since(request.started, *reached)} : std::nullopt;
}

/// Logs the end of a request. The last attempt is null if there was none.
void log_end(request_flow& flow, const server_attempt* last, int status, std::string_view code)
{
    const auto& request = flow.request;
    const auto& id = request.received.attempt_id;
    const auto now = flow.context.clock.now();
    const bool has_attempt = last != nullptr;
    auto& metrics = flow.context.metrics;
    metrics.add("almondline_requests_total", {{"service", request.service}, {"code", code}});
    metrics.observe("almondline_request_seconds", {{"service", request.service}},
                    now - request.started);
    flow.context.decisions.add(
        id, log_level::info, "answer",
        {{"request", id},
         {"route", request.route == nullptr ? std::string{} : request.route->name},
         {"account", account_name(request)},
         {"status", status},
         {"code", code},
         {"backend", has_attempt ? last->credit.backend_id : std::string{}},
         {"end", to_string(has_attempt ? end_of(*last) : attempt_end::stopped)},
         {"cause", has_attempt ? last->cause : flow.answer.refusal_cause},
         {"no_retry", flow.answer.retry_barrier},
         {"events", has_attempt ? last->events.count() : 0},
         {"servers", flow.attempts.servers_reached},
         {"may_have_run", flow.attempts.may_have_run ? 1 : 0},
         {"dispatch_ms", to_field(time_until(request, flow.attempts.first_sent))},
         {"first_event_ms", to_field(time_until(request, flow.answer.events.first))},
         {"longest_gap_ms", to_field(flow.answer.events.longest_gap)},
         {"ms", since(request.started, now).count()}});
}

asio::awaitable<void> finish_stream(request_flow& flow, const server_attempt& last)
{
    const bool is_complete = last.result == attempt_end::completed;
    log_end(flow, &last, last.response.status, is_complete ? "ok" : "cut");
    bool is_ended = false;
    if (is_complete) {
        is_ended = co_await flow.exchange.end_stream();
    }
    if (!is_ended) {
        flow.exchange.abort();
    }
}

asio::awaitable<void> reply(request_flow& flow, server_attempt& last)
{
    const int status = last.response.status;
    log_end(flow, &last, status, to_string(end_of(last)));
    http_response response{status, forwarded_headers(last.response.headers),
                           std::move(last.response.body)};
    co_await flow.exchange.reply(std::move(response));
}

/// Returns the refusal of a request that got no response of a server.
gateway_refusal make_refusal(const request_flow& flow, const server_attempt* last)
{
    const bool may_have_run = flow.attempts.may_have_run;
    const auto& answer = flow.answer;
    const auto& limits = flow.context.limits;
    if (answer.stopped == stop_cause::instance_stops) {
        return refuse_stopping(may_have_run);
    }
    if (answer.stopped == stop_cause::time_up) {
        return refuse_time_up(may_have_run, limits);
    }
    if (answer.refused) {
        return refuse_unanswered(may_have_run, *answer.refused);
    }
    const auto end = last == nullptr ? attempt_end::broken : end_of(*last);
    refusal reason{verdict::not_run, std::string{to_string(end)},
                   last == nullptr ? answer.refusal_cause : last->cause,
                   limits.default_retry_after};
    return refuse_unanswered(may_have_run, std::move(reason));
}

} // namespace

asio::awaitable<void> finish(request_flow& flow)
{
    auto* last = final_attempt(flow.attempts, flow.answer);
    if (flow.answer.stopped == stop_cause::caller_left) {
        log_end(flow, last, 0, "caller-left");
        flow.exchange.abort();
        co_return;
    }
    if (has_started(flow.answer)) {
        co_await finish_stream(flow, *last);
        co_return;
    }
    if (last != nullptr && has_response_of_server(*last)) {
        co_await reply(flow, *last);
        co_return;
    }
    auto refused = make_refusal(flow, last);
    co_await refuse(flow, std::move(refused));
}

asio::awaitable<void> refuse(request_flow& flow, gateway_refusal refused)
{
    if (!refused.cause.empty()) {
        flow.answer.refusal_cause = std::move(refused.cause);
    }
    const auto* last = final_attempt(flow.attempts, flow.answer);
    log_end(flow, last, refused.status, refused.reason.code);
    auto response = flow.context.protocol.refuse(flow.request.received.attempt_id, refused.status,
                                                 refused.reason);
    co_await flow.exchange.reply(std::move(response));
}

} // namespace almondline::gateway
