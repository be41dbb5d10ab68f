#include "gateway/credit_wait.h"
#include "gateway/internal/durations.h"
#include "gateway/internal/request_entry.h"
#include "gateway/request_flow.h"
#include "scheduling/types/token_cost.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

/// The service that a request goes to, and its credits.
namespace almondline::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr int first_server_error = 500;
constexpr double unsized_call_cost = 1;

granting::release_outcome outcome_of(attempt_end end, bool is_sent, bool is_server_error)
{
    using granting::release_outcome;
    switch (end) {
    case attempt_end::completed:
        return release_outcome::finished;
    case attempt_end::failure_reply:
        return is_server_error ? release_outcome::failed : release_outcome::cancelled;
    case attempt_end::not_run:
    case attempt_end::broken:
    case attempt_end::timed_out:
        return release_outcome::failed;
    case attempt_end::unreachable:
        return release_outcome::unreachable;
    case attempt_end::stopped:
        return is_sent ? release_outcome::cancelled : release_outcome::not_dispatched;
    }
    return release_outcome::failed;
}

} // namespace

void request_flow::choose_service(const route_policy& route)
{
    const double draw = std::uniform_real_distribution<double>{0, 1}(context_.random);
    service_ = gateway::choose_service(route, draw);
}

bool request_flow::has_left_service() const
{
    const auto current = context_.routes();
    const auto* route = find_route(*current, call_.host, target_path(call_.message.target));
    if (route == nullptr) {
        // A request that was admitted may still run where its route led.
        return find_service(*current->content, service_) == nullptr;
    }
    const auto& services = route->services;
    return std::none_of(services.begin(), services.end(),
                        [&](const auto& it) { return it.service == service_; });
}

bool request_flow::follow_manifest()
{
    if (!has_left_service()) {
        return true;
    }
    auto current = context_.routes();
    const auto* route = find_route(*current, call_.host, target_path(call_.message.target));
    if (route == nullptr) {
        return false;
    }
    // Only the service changes. What may be repeated, how often and for how long stays as it was
    // when the request was admitted.
    routes_ = std::move(current);
    choose_service(*route);
    return true;
}

void request_flow::on_manifest_changed()
{
    if (has_left_service()) {
        context_.credits.refuse_waiting(awaited_credit_);
    }
}

double request_flow::allowance_cost() const
{
    if (account_ == nullptr) {
        return 0;
    }
    if (!call_.size || !account_->is_allowance_by_size) {
        return account_->allowance_per_call;
    }
    return call_.size->prompt_tokens + call_.size->max_output_tokens;
}

/// Returns the time until which the request waits for a credit.
steady_time request_flow::credit_deadline() const
{
    const auto latest = latest_dispatch();
    if (route_->kind != route_kind::stream || has_started_) {
        return latest;
    }
    const auto event_timeout = context_.protocol.stream_event_timeout(*route_);
    return std::min(latest,
                    started_ + scaled(event_timeout, context_.limits.queue_share_of_timeout));
}

scheduling::credit_request request_flow::make_credit_request() const
{
    scheduling::credit_request request;
    request.request_id = call_.attempt_id;
    request.account = account_name();
    request.tier =
        tier_of(*routes_->content, account_ == nullptr ? 0 : account_->urgency, route_->urgency);
    request.model = call_.model;
    request.arrived = started_;
    request.deadline = credit_deadline();
    request.complete_by = deadline_;
    request.dispatch_by =
        started_ + scaled(route_->target_latency, 1 - context_.limits.server_share_of_target);
    request.excluded = excluded_;
    for (const auto& it : attempts_) {
        request.excluded.push_back(it.credit.backend_id);
    }
    const auto in_backoff = replicas_in_backoff(context_.replicas, service_, context_.clock.now());
    request.excluded.insert(request.excluded.end(), in_backoff.begin(), in_backoff.end());
    request.fingerprints = fingerprints_;
    request.prefix_blocks = call_.prefix_blocks;
    request.prefix_tokens = call_.prefix_tokens;
    request.cost = unsized_call_cost;
    if (call_.size) {
        request.prompt_tokens = call_.size->prompt_tokens;
        request.output_tokens =
            call_.expected_output_tokens.value_or(call_.size->max_output_tokens);
        request.cost = scheduling::token_cost(request.prompt_tokens, request.output_tokens);
    }
    request.allowance_cost = allowance_cost();
    return request;
}

asio::awaitable<server_attempt*> request_flow::start_round()
{
    while (true) {
        auto result = co_await request_credit(call_.attempt_id);
        if (!result.granted) {
            refusal_ = std::move(result.reason);
            is_refused_ = true;
            retry_barrier_ = refusal_.code;
            co_return nullptr;
        }
        if (confirm(*result.granted)) {
            keep_responses();
            co_return &add_attempt(std::move(*result.granted));
        }
        return_unused(*result.granted);
    }
}

void request_flow::keep_responses()
{
    for (auto it = attempts_.begin(); it != attempts_.end();) {
        const auto current = it++;
        if (!has_started_ && has_response_of_server(*current)) {
            answered_.splice(answered_.end(), attempts_, current);
        }
    }
    attempts_.clear();
}

server_attempt& request_flow::add_attempt(granting::credit granted)
{
    const double share = is_any_running() ? context_.limits.hedge_memory_share : 1;
    const auto max_bytes =
        static_cast<std::uint64_t>(static_cast<double>(context_.max_response_bytes) * share);
    auto& out = attempts_.emplace_back(std::move(granted), service_, last_event_id_,
                                       context_.response_bytes, max_bytes);
    out.dispatched = context_.clock.now();
    out.last_progress = out.dispatched;
    out.silence_limit = silence_limit_before_response();
    return out;
}

asio::awaitable<granting::credit_result> request_flow::request_credit(std::string credit_id)
{
    const request_entry listed{context_.waiting, *this};
    update_end();
    granting::credit_result decision;
    std::vector<granting::pool_refusal> refused_by;
    while (true) {
        auto request = make_credit_request();
        request.request_id = credit_id;
        const auto pool = context_.choose_pool(service_, request, refused_by);
        if (pool.empty()) {
            co_return decision;
        }
        if (const auto hold = context_.quarantine_wait(service_, fingerprints_)) {
            granting::credit_result refused;
            refused.reason = granting::make_refusal(*hold);
            co_return refused;
        }
        awaited_credit_ = credit_id;
        decision = co_await wait_for_credit(context_.credits, pool, std::move(request));
        const bool is_ownerless =
            !decision.granted && decision.reason.code == granting::code_no_granter;
        if (is_ownerless && !follow_manifest()) {
            decision.reason = {verdict::not_run, "route-removed", "the route was removed",
                               context_.limits.default_retry_after};
            co_return decision;
        }
        if (is_ownerless && time_left() > context_.limits.owner_retry_delay) {
            asio::steady_timer pause{co_await asio::this_coro::executor,
                                     context_.limits.owner_retry_delay};
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (decision.granted) {
            co_return decision;
        }
        refused_by.push_back({pool, decision.reason.code});
    }
}

bool request_flow::confirm(const granting::credit& granted)
{
    const auto& id = granted.backend_id;
    if (!may_dispatch(context_.replicas, id, context_.clock.now())) {
        excluded_.push_back(id);
        return false;
    }
    return context_.credits.confirm(granted.request_id);
}

void request_flow::return_unused(const granting::credit& granted)
{
    granting::release_report unused;
    unused.outcome = granting::release_outcome::not_dispatched;
    context_.credits.release(granted.request_id, unused);
}

void request_flow::release_credit(server_attempt& attempt)
{
    if (!std::exchange(attempt.has_credit, false)) {
        return;
    }
    const auto now = context_.clock.now();
    const auto* service = find_service(*routes_->content, attempt.service);
    const bool is_server_error = attempt.response.status >= first_server_error;
    granting::release_report report;
    report.outcome =
        outcome_of(attempt.result.value_or(attempt_end::stopped), attempt.is_sent, is_server_error);
    report.duration = since(attempt.dispatched, now);
    report.is_server_leaving = attempt.is_server_leaving;
    // A response of another server shows that the request does not crash those that run it.
    const bool is_refuted = std::any_of(attempts_.begin(), attempts_.end(), [&](const auto& it) {
        return it.has_delivered && &it != &attempt;
    });
    if (attempt.has_server_crashed && !is_refuted) {
        report.crash_suspects = fingerprints_;
    }
    if (call_.size) {
        const auto events = static_cast<double>(attempt.events.count());
        report.prompt_tokens = call_.size->prompt_tokens;
        report.output_tokens = events * (service == nullptr ? 1 : service->tokens_per_event);
        report.actual_cost = scheduling::token_cost(report.prompt_tokens, report.output_tokens);
    }
    if (attempt.first_event != steady_time{}) {
        report.first_token = since(attempt.dispatched, attempt.first_event);
    }
    context_.credits.release(attempt.credit.request_id, report);
}

} // namespace almondline::gateway
