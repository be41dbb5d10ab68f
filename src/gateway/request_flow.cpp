#include "gateway/request_flow.h"

#include "common/hash.h"
#include "common/log.h"
#include "gateway/internal/durations.h"
#include "gateway/internal/forwarding_headers.h"
#include "gateway/internal/request_entry.h"
#include "gateway/request_fingerprint.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <utility>

namespace almondline::gateway {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;
using std::chrono::milliseconds;

namespace {

constexpr int first_server_error = 500;
constexpr std::size_t logged_hash_length = 12;

int status_of(const refusal& reason)
{
    return reason.code == granting::code_allowance ? 429 : 503;
}

} // namespace

request_flow::request_flow(gateway_context& context, http_exchange& exchange)
    : context_{context}, exchange_{exchange}, started_{context.clock.now()}, deadline_{started_}
{
}

asio::awaitable<void> request_flow::run()
{
    auto body = exchange_.take_body();
    auto request = exchange_.request();
    request.body = std::move(body);
    call_ = context_.protocol.decode(std::move(request));
    if (is_stopping(context_.stop)) {
        exchange_.close_after_response();
    }
    const bool is_admitted = co_await admit();
    if (!is_admitted) {
        co_return;
    }
    note_request(context_.retries, service_, started_);
    const request_entry listed{context_.in_progress, *this};
    end_timer_.emplace(co_await asio::this_coro::executor);
    attempts_timer_.emplace(co_await asio::this_coro::executor);
    const error_handler on_error = [this](const std::string& reason) { fail(reason); };
    const auto first =
        co_await (run_guarded(serve(), on_error) || exchange_.wait_closed() || wait_for_end());
    if (first.index() == 1) {
        stop(stop_cause::caller_left);
    }
    else if (first.index() == 2) {
        stop(context_.clock.now() < deadline_ ? stop_cause::instance_stops : stop_cause::time_up);
    }
    co_await finish();
}

asio::awaitable<bool> request_flow::admit()
{
    routes_ = context_.routes();
    admission_routes_ = routes_;
    if (!routes_) {
        refusal reason{verdict::not_run, "no-manifest", "no manifest is known yet",
                       context_.limits.default_retry_after};
        co_await refuse(503, std::move(reason));
        co_return false;
    }
    route_ = find_route(*routes_, call_.host, target_path(call_.message.target));
    if (route_ == nullptr) {
        refusal reason{verdict::not_run, "no-route", "no route has this host and path", {}};
        co_await refuse(404, std::move(reason));
        co_return false;
    }
    if (routes_->content->needs_keys && !route_->is_public) {
        account_ = find_account_of_key(*routes_, call_.key);
        if (account_ == nullptr) {
            refusal_cause_ = "key hash " + sha256_hex(call_.key).substr(0, logged_hash_length);
            refusal reason{verdict::not_run, "unknown-key", "the key belongs to no account", {}};
            co_await refuse(401, std::move(reason));
            co_return false;
        }
    }
    if (call_.attempt_id.empty()) {
        refusal reason{verdict::not_run, "no-id", "the request names no attempt", {}};
        co_await refuse(400, std::move(reason));
        co_return false;
    }
    const auto limit = std::min(route_->timeout, call_.time_limit.value_or(route_->timeout));
    deadline_ = started_ + limit;
    if (!accepts_requests(context_.stop, started_) || started_ > latest_dispatch()) {
        co_await refuse_stopping();
        co_return false;
    }
    fingerprints_ = fingerprints_of(call_, account_name());
    choose_service(*route_);
    co_return true;
}

milliseconds request_flow::time_left() const
{
    return std::max(milliseconds{0}, since(context_.clock.now(), deadline_));
}

milliseconds request_flow::io_timeout() const
{
    return time_left() + context_.limits.io_timeout_margin;
}

/// Returns how long a server may send nothing before another one is looked for.
milliseconds request_flow::silence_limit(milliseconds target, double factor) const
{
    return std::max(context_.limits.min_response_timeout, scaled(target, factor));
}

milliseconds request_flow::silence_limit_before_response() const
{
    return silence_limit(route_->target_latency, context_.limits.latency_timeout_factor);
}

milliseconds request_flow::service_time() const
{
    const auto size = call_.size.value_or(call_size{});
    const auto limit = since(started_, deadline_);
    const auto expected =
        expected_time(context_.answer_times, route_->name,
                      call_.expected_output_tokens.value_or(size.max_output_tokens));
    return std::min(limit, expected.value_or(limit));
}

steady_time request_flow::latest_dispatch() const
{
    const auto by = answer_by(context_.stop);
    return by ? std::min(deadline_, *by - service_time()) : deadline_;
}

steady_time request_flow::latest_end() const
{
    const auto by = answer_by(context_.stop);
    if (!by) {
        return deadline_;
    }
    const bool is_dispatched = std::any_of(attempts_.begin(), attempts_.end(),
                                           [](const auto& it) { return has_credit(it); });
    return is_dispatched ? std::min(deadline_, *by) : latest_dispatch();
}

asio::awaitable<void> request_flow::wait_for_end()
{
    while (context_.clock.now() < latest_end()) {
        const auto left = since(context_.clock.now(), latest_end());
        end_timer_->expires_after(left + milliseconds{1});
        co_await end_timer_->async_wait(asio::as_tuple(asio::use_awaitable));
        const auto state = co_await asio::this_coro::cancellation_state;
        if (state.cancelled() != asio::cancellation_type::none) {
            co_return; // without another await, which would throw in a cancelled coroutine
        }
    }
}

void request_flow::update_end()
{
    if (is_stopping(context_.stop)) {
        end_timer_->cancel();
    }
}

void request_flow::on_instance_stop()
{
    if (!has_started_) {
        exchange_.close_after_response();
    }
    update_end();
}

void request_flow::note_answer_time()
{
    const auto* attempt = decisive_attempt();
    if (attempt == nullptr || attempt->result != attempt_end::completed) {
        return;
    }
    const auto now = context_.clock.now();
    const auto first = attempt->first_event == steady_time{} ? now : attempt->first_event;
    const auto* service = find_service(*routes_->content, attempt->service);
    const double tokens_per_event = service == nullptr ? 0 : service->tokens_per_event;
    gateway::note_answer_time(context_.answer_times, route_->name,
                              {since(attempt->dispatched, first), since(first, now),
                               static_cast<double>(attempt->events.count()) * tokens_per_event},
                              now);
}

asio::awaitable<void> request_flow::run_guarded(asio::awaitable<void> work, error_handler on_error)
{
    try {
        co_await std::move(work);
    }
    catch (const boost::system::system_error& e) {
        if (e.code() != asio::error::operation_aborted) {
            on_error(e.what());
        }
    }
    catch (const std::exception& e) {
        on_error(e.what());
    }
}

void request_flow::log_error(std::string_view event, const std::string& reason)
{
    context_.decisions.add(call_.attempt_id, log_level::error, event,
                           {{"request", call_.attempt_id}, {"reason", reason}});
}

void request_flow::fail(const std::string& reason)
{
    log_error("request-failed", reason);
    refusal_cause_ = reason;
    for (auto& it : attempts_) {
        may_have_run_ = may_have_run_ || is_sent(it);
        if (has_credit(it)) {
            break_off(it, reason);
            end_attempt(it);
        }
    }
}

asio::awaitable<void> request_flow::serve()
{
    bool is_planned = true;
    while (is_planned) {
        auto* first = co_await start_round();
        if (first == nullptr) {
            co_return;
        }
        co_await run_hedged(*first);
        note_answer_time();
        is_planned = stopped_ == stop_cause::none && plan_next();
    }
}

attempt_facts request_flow::facts(const server_attempt* attempt) const
{
    attempt_facts out;
    if (attempt != nullptr) {
        out.end = attempt->result.value_or(attempt_end::stopped);
        out.is_server_error = attempt->response.status >= first_server_error;
    }
    out.kind = route_->kind;
    out.is_resumable = route_->is_resumable;
    out.has_started = has_started_;
    out.has_event_ids = last_event_id_ > 0;
    out.servers_reached = servers_reached_;
    out.max_attempts = route_->max_attempts;
    out.unreachable_servers = unreachable_servers_;
    out.has_time = time_left() > context_.limits.min_attempt_time;
    return out;
}

server_attempt* request_flow::decisive_attempt()
{
    server_attempt* out = nullptr;
    for (auto& it : attempts_) {
        if (is_superseded(it)) {
            continue;
        }
        if (has_delivered(it)) {
            return &it;
        }
        const auto end = it.result.value_or(attempt_end::stopped);
        if (out == nullptr || is_more_conclusive(end, out->result.value_or(attempt_end::stopped))) {
            out = &it;
        }
    }
    return out;
}

bool request_flow::has_response_of_server(const server_attempt& attempt)
{
    if (attempt.result == attempt_end::failure_reply) {
        return !is_not_run_status(attempt.response.status);
    }
    return attempt.result == attempt_end::completed;
}

server_attempt* request_flow::final_attempt()
{
    auto* last = decisive_attempt();
    const bool has_response = last != nullptr && has_response_of_server(*last);
    return has_response || has_started_ || answered_.empty() ? last : &answered_.back();
}

bool request_flow::is_completed()
{
    const auto* last = final_attempt();
    return last != nullptr && last->result == attempt_end::completed;
}

/// Prepares another round of attempts. Returns false if none is allowed.
bool request_flow::plan_next()
{
    const auto now = context_.clock.now();
    const auto* last = decisive_attempt();
    const auto current = facts(last);
    const auto step = decide_next(current);
    if (step == next_step::answer || step == next_step::abort) {
        retry_barrier_ = retry_barrier(current);
        return false;
    }
    if (needs_retry_budget(current, step) &&
        !consume_retry(context_.retries, service_, context_.instance_count(), now)) {
        context_.metrics.add("almondline_retries_refused_total", {{"service", service_}});
        retry_barrier_ = "retry-budget";
        return false;
    }
    context_.metrics.add("almondline_retries_total", {{"service", service_}});
    context_.decisions.add(call_.attempt_id, log_level::info, "retry",
                           {{"request", call_.attempt_id},
                            {"backend", last->credit.backend_id},
                            {"end", to_string(current.end)},
                            {"cause", last->cause},
                            {"after_event", last_event_id_}});
    return true;
}

std::string_view request_flow::describe(stop_cause cause)
{
    switch (cause) {
    case stop_cause::none:
        return "";
    case stop_cause::caller_left:
        return "the caller disconnected";
    case stop_cause::time_up:
        return "the time of the route or of the caller is up";
    case stop_cause::instance_stops:
        return "this instance is stopping";
    }
    return "";
}

void request_flow::stop(stop_cause cause)
{
    stopped_ = cause;
    for (auto& it : attempts_) {
        if (!has_credit(it)) {
            continue;
        }
        if (it.result != attempt_end::completed) {
            it.cause = describe(cause);
            it.result = has_server_timed_out(it) ? attempt_end::timed_out : attempt_end::stopped;
        }
        may_have_run_ = may_have_run_ || is_sent(it);
        it.connection.reset();
        end_attempt(it);
    }
}

/// True if the server sent nothing for so long that the end of the request counts as its failure,
/// not as a cancellation by the caller.
bool request_flow::has_server_timed_out(const server_attempt& attempt) const
{
    if (!is_sent(attempt) || attempt.first_event != steady_time{}) {
        return false;
    }
    return context_.clock.now() - attempt.dispatched >= silence_limit_before_response();
}

asio::awaitable<void> request_flow::finish()
{
    if (stopped_ == stop_cause::caller_left) {
        log_end(0, "caller-left");
        exchange_.abort();
        co_return;
    }
    if (has_started_) {
        co_await finish_stream();
        co_return;
    }
    const auto* last = final_attempt();
    const bool has_response = last != nullptr && has_response_of_server(*last);
    if (!has_response && stopped_ == stop_cause::instance_stops) {
        co_await refuse_stopping();
        co_return;
    }
    if (!has_response && stopped_ == stop_cause::time_up) {
        co_await refuse_time_up();
        co_return;
    }
    co_await answer();
}

asio::awaitable<void> request_flow::finish_stream()
{
    const bool is_complete = is_completed();
    log_end(final_attempt()->response.status, is_complete ? "ok" : "cut");
    bool is_ended = false;
    if (is_complete) {
        is_ended = co_await exchange_.end_stream();
    }
    if (!is_ended) {
        exchange_.abort();
    }
}

asio::awaitable<void> request_flow::answer()
{
    auto* last = final_attempt();
    if (last != nullptr && has_response_of_server(*last)) {
        const int status = last->response.status;
        log_end(status, to_string(*last->result));
        http_response response{status, forwarded_headers(last->response.headers),
                               std::move(last->response.body)};
        co_await exchange_.reply(std::move(response));
        co_return;
    }
    refusal reason = refusal_;
    if (!is_refused_) {
        const auto end =
            last == nullptr ? attempt_end::broken : last->result.value_or(attempt_end::stopped);
        reason = {verdict::not_run, std::string{to_string(end)},
                  last == nullptr ? refusal_cause_ : last->cause,
                  context_.limits.default_retry_after};
    }
    if (may_have_run_) {
        reason.run = verdict::may_have_run;
        co_await refuse(502, std::move(reason));
        co_return;
    }
    const int status = status_of(reason);
    co_await refuse(status, std::move(reason));
}

asio::awaitable<void> request_flow::refuse_time_up()
{
    refusal reason{may_have_run_ ? verdict::may_have_run : verdict::not_run, "time-up",
                   std::string{describe(stop_cause::time_up)}, context_.limits.default_retry_after};
    co_await refuse(may_have_run_ ? 504 : 503, std::move(reason));
}

/// Another instance can take the request at once if it has not run.
asio::awaitable<void> request_flow::refuse_stopping()
{
    refusal reason{may_have_run_ ? verdict::may_have_run : verdict::not_run, "stopping",
                   std::string{describe(stop_cause::instance_stops)}, milliseconds{1}};
    co_await refuse(may_have_run_ ? 502 : 503, std::move(reason));
}

asio::awaitable<void> request_flow::refuse(int status, refusal reason)
{
    log_end(status, reason.code);
    auto response = context_.protocol.refuse(call_.attempt_id, status, reason);
    co_await exchange_.reply(std::move(response));
}

void request_flow::log_end(int status, std::string_view code)
{
    const auto now = context_.clock.now();
    const auto name = route_ == nullptr ? std::string{} : route_->name;
    const auto* last = final_attempt();
    const bool has_attempt = last != nullptr;
    context_.metrics.add("almondline_requests_total", {{"service", service_}, {"code", code}});
    context_.metrics.observe("almondline_request_seconds", {{"service", service_}}, now - started_);
    context_.decisions.add(
        call_.attempt_id, log_level::info, "answer",
        {{"request", call_.attempt_id},
         {"route", name},
         {"account", account_name()},
         {"status", status},
         {"code", code},
         {"backend", has_attempt ? last->credit.backend_id : std::string{}},
         {"end", to_string(has_attempt && last->result ? *last->result : attempt_end::stopped)},
         {"cause", has_attempt ? last->cause : refusal_cause_},
         {"no_retry", retry_barrier_},
         {"events", has_attempt ? last->events.count() : 0},
         {"servers", servers_reached_},
         {"may_have_run", may_have_run_ ? 1 : 0},
         {"ms", since(started_, now).count()}});
}

} // namespace almondline::gateway
