#include "entry/request_runner.h"

#include "common/log.h"
#include "entry/internal/answer_sink.h"
#include "entry/internal/credit_wait.h"
#include "entry/refusals.h"
#include "scheduling/types/token_cost.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>

namespace almondline::entry {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds retry_after_backend_failure{1'000};

/// Estimated service time on the fastest engine class of the manifest, 0 for plain services.
milliseconds min_service_time(const manifest& m, const caller_request& request)
{
    if (request.type == service_type::plain) {
        return milliseconds{0};
    }
    double seconds = -1;
    for (const auto& it : m.engine_classes) {
        const double prefill = request.prompt_tokens / it.prefill_tokens_per_second;
        const double decode = request.output_tokens / it.decode_tokens_per_second;
        seconds = seconds < 0 ? prefill + decode : std::min(seconds, prefill + decode);
    }
    return milliseconds{static_cast<std::int64_t>(std::max(0.0, seconds) * 1000)};
}

granting::release_outcome outcome_of(const backend::dispatch_outcome& outcome)
{
    using backend::dispatch_end;
    constexpr int first_server_error = 500;
    switch (outcome.end) {
    case dispatch_end::completed:
        return granting::release_outcome::finished;
    case dispatch_end::stopped:
        return granting::release_outcome::cancelled;
    case dispatch_end::rejected:
        // A client error is no sign of an unhealthy backend server.
        return outcome.response.status < first_server_error ? granting::release_outcome::cancelled
                                                            : granting::release_outcome::failed;
    case dispatch_end::not_dispatched:
    case dispatch_end::not_admitted:
    case dispatch_end::broken:
        return granting::release_outcome::failed;
    }
    return granting::release_outcome::failed;
}

/// Runs one validated request up to its answer.
class request_run {
public:
    request_run(traffic_context& context, caller_request request, http_exchange& exchange)
        : context_{context}, request_{std::move(request)}, exchange_{exchange}, sink_{context_,
                                                                                      request_,
                                                                                      exchange_},
          started_{context.clock.now()}, deadline_{started_ + request_.time_limit}
    {
    }

    asio::awaitable<recorded_answer> run();

private:
    scheduling::credit_request make_credit_request() const;
    asio::awaitable<bool> acquire_credit();
    asio::awaitable<void> dispatch();
    asio::awaitable<void> dispatch_until_closed();
    asio::awaitable<void> dispatch_to_server();
    backend::target backend_server() const;
    bool may_retry();
    void release();
    asio::awaitable<void> answer();
    asio::awaitable<void> refuse(int status, const refusal& reason);
    asio::awaitable<void> forward_response();
    void record_end(int status, verdict final_verdict, std::string_view code);

    traffic_context& context_;
    caller_request request_;
    http_exchange& exchange_;
    answer_sink sink_;
    steady_time started_;
    steady_time deadline_;
    steady_time dispatched_{};
    std::vector<std::string> excluded_;
    granting::credit credit_;
    backend::dispatch_outcome outcome_;
    recorded_answer recorded_;
    bool is_caller_gone_ = false;
};

scheduling::credit_request request_run::make_credit_request() const
{
    scheduling::credit_request new_request;
    new_request.request_id = request_.request_id;
    new_request.holder = context_.instance_id;
    new_request.account = request_.account;
    new_request.kind = request_.kind;
    new_request.model = request_.model;
    new_request.tier = request_.tier;
    new_request.prompt_tokens = request_.prompt_tokens;
    new_request.output_tokens = request_.output_tokens;
    new_request.cost = scheduling::token_cost(request_.prompt_tokens, request_.output_tokens);
    new_request.arrived = context_.clock.now();
    new_request.deadline = deadline_;
    const auto current = context_.manifests.snapshot();
    new_request.estimated_service = min_service_time(*current->content, request_);
    new_request.prefix_blocks = request_.prefix_blocks;
    new_request.excluded = excluded_;
    return new_request;
}

/// Returns false if there is no credit; the caller has then been answered or has disconnected.
asio::awaitable<bool> request_run::acquire_credit()
{
    const auto pool = request_.service;
    auto decision =
        co_await wait_for_credit(context_.credits, pool, make_credit_request(), exchange_);
    if (!decision) {
        is_caller_gone_ = true;
        record_end(0, verdict::not_run, "caller-closed");
        co_return false;
    }
    if (!decision->granted) {
        co_await refuse(status_of_refusal(decision->reason.code), decision->reason);
        co_return false;
    }
    credit_ = *decision->granted;
    context_.metrics.observe("almondline_queue_seconds", {{"tier", request_.tier_name}},
                             context_.clock.now() - started_);
    co_return true;
}

backend::target request_run::backend_server() const
{
    backend::target server;
    server.id = credit_.backend_id;
    parse_endpoint(credit_.backend_address, server.address);
    return server;
}

asio::awaitable<void> request_run::dispatch_to_server()
{
    const auto server = backend_server();
    auto message = request_.forward;
    message.headers.push_back({"X-Request-Id", request_.request_id});
    if (request_.type == service_type::plain) {
        const auto remaining = std::chrono::duration_cast<milliseconds>(deadline_ - dispatched_);
        outcome_ =
            co_await backend::dispatch_call(server, std::move(message), context_.limits, remaining);
        co_return;
    }
    outcome_ = co_await backend::dispatch_completion(
        server, request_.request_id, std::move(message), context_.limits, context_.clock, sink_);
}

asio::awaitable<void> request_run::dispatch_until_closed()
{
    const auto first_done = co_await (dispatch_to_server() || exchange_.wait_closed());
    if (first_done.index() == 0) {
        co_return;
    }
    is_caller_gone_ = true;
    outcome_.end = backend::dispatch_end::stopped;
    outcome_.run = verdict::may_have_run;
}

asio::awaitable<void> request_run::dispatch()
{
    dispatched_ = context_.clock.now();
    outcome_ = {};
    const auto line = format_log_line("entry", log_level::info, "dispatch",
                                      {{"request", request_.request_id},
                                       {"backend", credit_.backend_id},
                                       {"credit", credit_.credit_id},
                                       {"reason", credit_.reason}});
    context_.decisions.record(request_.request_id, line);
    if (request_.is_idempotent) {
        co_await dispatch_until_closed();
    }
    else {
        co_await dispatch_to_server();
    }
    const bool is_cancelled = outcome_.end == backend::dispatch_end::stopped;
    if (is_cancelled && request_.type == service_type::model) {
        const auto engine = backend_server();
        co_await backend::cancel_stream(engine, request_.request_id, context_.limits);
    }
    release();
}

void request_run::release()
{
    const auto now = context_.clock.now();
    granting::release_report report;
    report.outcome = outcome_of(outcome_);
    report.prompt_tokens = outcome_.usage.prompt_tokens;
    report.output_tokens = outcome_.usage.completion_tokens;
    report.actual_cost = scheduling::token_cost(report.prompt_tokens, report.output_tokens);
    if (request_.type == service_type::plain &&
        report.outcome == granting::release_outcome::finished) {
        report.actual_cost = scheduling::token_cost(request_.prompt_tokens, request_.output_tokens);
    }
    report.duration = std::chrono::duration_cast<milliseconds>(now - dispatched_);
    if (outcome_.first_event != steady_time{}) {
        report.first_token =
            std::chrono::duration_cast<milliseconds>(outcome_.first_event - dispatched_);
        context_.metrics.observe("almondline_first_token_seconds", {{"tier", request_.tier_name}},
                                 outcome_.first_event - started_);
    }
    if (report.outcome == granting::release_outcome::finished &&
        request_.type == service_type::model) {
        context_.lengths.update(request_.service, request_.kind, report.output_tokens);
    }
    else if (outcome_.run == verdict::may_have_run) {
        context_.metrics.add("almondline_wasted_prefill_tokens_total",
                             {{"tier", request_.tier_name}}, request_.prompt_tokens);
    }
    context_.credits.release(credit_, report);
}

bool request_run::may_retry()
{
    if (outcome_.end != backend::dispatch_end::not_dispatched || is_caller_gone_) {
        return false;
    }
    if (context_.clock.now() >= deadline_ || !context_.retries.consume(request_.service)) {
        return false;
    }
    excluded_.push_back(credit_.backend_id);
    context_.metrics.add("almondline_retries_total", {{"service", request_.service}});
    log_event("entry", log_level::info, "retry",
              {{"request", request_.request_id},
               {"failed_backend", credit_.backend_id},
               {"cause", outcome_.message}});
    return true;
}

void request_run::record_end(int status, verdict final_verdict, std::string_view code)
{
    const auto now = context_.clock.now();
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - started_).count();
    recorded_.status = status;
    recorded_.run = final_verdict;
    context_.metrics.add("almondline_requests_total", {{"tier", request_.tier_name},
                                                       {"account", request_.account},
                                                       {"verdict", to_string(final_verdict)},
                                                       {"code", code}});
    const std::initializer_list<log_field> fields{{"request", request_.request_id},
                                                  {"account", request_.account},
                                                  {"service", request_.service},
                                                  {"tier", request_.tier_name},
                                                  {"kind", request_.kind},
                                                  {"status", status},
                                                  {"verdict", to_string(final_verdict)},
                                                  {"code", code},
                                                  {"backend", credit_.backend_id},
                                                  {"events", outcome_.events},
                                                  {"resumes", outcome_.resumes},
                                                  {"ms", elapsed}};
    log_event("entry", log_level::info, "answer", fields);
    context_.decisions.record(request_.request_id,
                              format_log_line("entry", log_level::info, "answer", fields));
}

asio::awaitable<void> request_run::refuse(int status, const refusal& reason)
{
    record_end(status, reason.run, reason.code);
    context_.metrics.add("almondline_refused_total",
                         {{"reason", reason.code}, {"verdict", to_string(reason.run)}});
    if (co_await sink_.abort_response(reason)) {
        co_return;
    }
    auto response = refusal_response(status, reason, request_.request_id);
    if (!request_.idempotency_key.empty()) {
        recorded_.body = response.body;
        recorded_.content_type = "application/json";
    }
    co_await exchange_.reply(std::move(response));
}

asio::awaitable<void> request_run::forward_response()
{
    record_end(outcome_.response.status, outcome_.run, to_string(outcome_.end));
    http_response response;
    response.status = outcome_.response.status;
    const auto type = find_header(outcome_.response.headers, "Content-Type");
    if (!type.empty()) {
        response.headers.push_back({"Content-Type", std::string{type}});
    }
    response.headers.push_back({"X-Request-Id", request_.request_id});
    response.headers.push_back({"X-Verdict", std::string{to_string(outcome_.run)}});
    if (outcome_.retry_after.count() > 0) {
        const auto seconds = outcome_.retry_after.count() / 1000;
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    response.body = std::move(outcome_.response.body);
    if (!request_.idempotency_key.empty()) {
        recorded_.body = response.body;
        recorded_.content_type = std::string{type};
    }
    co_await exchange_.reply(std::move(response));
}

asio::awaitable<void> request_run::answer()
{
    using backend::dispatch_end;
    if (is_caller_gone_) {
        record_end(0, outcome_.run, "caller-closed");
        co_return;
    }
    refusal reason{outcome_.run, {}, outcome_.message, retry_after_backend_failure};
    switch (outcome_.end) {
    case dispatch_end::completed:
        if (request_.type == service_type::plain) {
            co_await forward_response();
            co_return;
        }
        record_end(200, verdict::ran, "ok");
        co_await sink_.finish();
        recorded_.content_type = sink_.content_type();
        recorded_.body = sink_.recorded_body();
        co_return;
    case dispatch_end::rejected:
        co_await forward_response();
        co_return;
    case dispatch_end::not_admitted:
        reason.code = "not-admitted";
        reason.retry_after = std::max(reason.retry_after, outcome_.retry_after);
        co_await refuse(503, reason);
        co_return;
    case dispatch_end::not_dispatched:
        reason.code = "backend-unreachable";
        co_await refuse(503, reason);
        co_return;
    case dispatch_end::broken:
    case dispatch_end::stopped:
        reason.code = "outcome-unknown";
        reason.retry_after = {};
        co_await refuse(502, reason);
        co_return;
    }
}

asio::awaitable<recorded_answer> request_run::run()
{
    const auto current = context_.manifests.snapshot();
    const auto* service = find_service(*current->content, request_.service);
    context_.retries.on_first_attempt(request_.service,
                                      service == nullptr ? 0 : service->retry_budget_percent);
    do {
        if (!co_await acquire_credit()) {
            co_return recorded_;
        }
        co_await dispatch();
    } while (may_retry());
    co_await answer();
    co_return recorded_;
}

} // namespace

asio::awaitable<recorded_answer> run_request(traffic_context& context, caller_request request,
                                             http_exchange& exchange)
{
    if (request.type == service_type::model) {
        request.output_tokens =
            context.lengths.estimate(request.service, request.kind, request.max_output_tokens);
    }
    request_run run{context, std::move(request), exchange};
    co_return co_await run.run();
}

} // namespace almondline::entry
