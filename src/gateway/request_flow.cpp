#include "gateway/request_flow.h"

#include "common/log.h"
#include "gateway/credit_wait.h"
#include "gateway/internal/forwarding_headers.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace almondline::gateway {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;
using std::chrono::milliseconds;

namespace {

constexpr int first_server_error = 500;
/// Cost of an output token in units of a prompt token: decoding takes one pass a token, prefill
/// handles many tokens in a pass.
constexpr double output_cost_factor = 8;
constexpr double plain_cost = 1;

milliseconds since(steady_time from, steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(now - from);
}

milliseconds part_of(milliseconds whole, double part)
{
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(whole.count()) * part)};
}

bool is_event_stream(const http_response& response)
{
    return find_header(response.headers, "Content-Type").starts_with("text/event-stream");
}

std::int64_t whole(double amount)
{
    return static_cast<std::int64_t>(amount);
}

int status_of(const refusal& why)
{
    return why.code == granting::code_allowance ? 429 : 503;
}

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
    case attempt_end::silent:
        return release_outcome::failed;
    case attempt_end::unreachable:
        return release_outcome::unreachable;
    case attempt_end::stopped:
        return is_sent ? release_outcome::cancelled : release_outcome::not_dispatched;
    }
    return release_outcome::failed;
}

std::string_view to_string(attempt_end end)
{
    switch (end) {
    case attempt_end::completed:
        return "completed";
    case attempt_end::failure_reply:
        return "failure-reply";
    case attempt_end::not_run:
        return "refused-by-server";
    case attempt_end::unreachable:
        return "unreachable";
    case attempt_end::broken:
        return "broken";
    case attempt_end::silent:
        return "silent";
    case attempt_end::stopped:
        return "stopped";
    }
    return "stopped";
}

} // namespace

request_flow::request_flow(gateway_context& context, http_exchange& exchange)
    : context_{context}, exchange_{exchange}, started_{context.clock.now()}, deadline_{started_}
{
}

asio::awaitable<void> request_flow::run()
{
    call_ = context_.protocol.decode(exchange_.request());
    if (context_.is_draining()) {
        exchange_.close_when_answered();
    }
    const bool is_admitted = co_await admit();
    if (!is_admitted) {
        co_return;
    }
    note_request(context_.retries, service_, started_);
    asio::steady_timer timer{co_await asio::this_coro::executor, deadline_};
    const auto first = co_await (serve() || exchange_.wait_closed() ||
                                 timer.async_wait(asio::as_tuple(asio::use_awaitable)));
    if (first.index() == 1) {
        stop(stop_cause::caller_left);
    }
    else if (first.index() == 2) {
        stop(stop_cause::time_up);
    }
    co_await finish();
}

asio::awaitable<bool> request_flow::admit()
{
    routes_ = context_.routes();
    if (!routes_) {
        refusal why{verdict::not_run, "no-manifest", "no manifest is known yet",
                    context_.limits.default_retry_after};
        co_await refuse(503, std::move(why));
        co_return false;
    }
    route_ = find_route(*routes_, call_.host, target_path(call_.message.target));
    if (route_ == nullptr) {
        refusal why{verdict::not_run, "no-route", "no route has this host and path", {}};
        co_await refuse(404, std::move(why));
        co_return false;
    }
    if (routes_->content->needs_keys && !route_->is_public) {
        account_ = find_account_of_key(*routes_, call_.key);
        if (account_ == nullptr) {
            refusal why{verdict::not_run, "unknown-key", "the key belongs to no account", {}};
            co_await refuse(401, std::move(why));
            co_return false;
        }
    }
    if (call_.attempt_id.empty()) {
        refusal why{verdict::not_run, "no-id", "the request names no attempt", {}};
        co_await refuse(400, std::move(why));
        co_return false;
    }
    if (context_.refuses_new_requests()) {
        refusal why{verdict::not_run, "stopping", "this instance is stopping", milliseconds{1}};
        co_await refuse(503, std::move(why));
        co_return false;
    }
    const auto limit = std::min(route_->timeout, call_.time_limit.value_or(route_->timeout));
    deadline_ = started_ + limit;
    const double draw = std::uniform_real_distribution<double>{0, 1}(context_.random);
    service_ = choose_service(*route_, draw);
    co_return true;
}

milliseconds request_flow::time_left() const
{
    return std::max(milliseconds{0}, since(context_.clock.now(), deadline_));
}

milliseconds request_flow::patience(milliseconds target, double factor) const
{
    const bool may_repeat = route_->kind == route_kind::idempotent ||
                            (route_->kind == route_kind::stream && route_->is_resumable);
    if (!may_repeat || servers_reached_ >= route_->max_attempts) {
        return time_left() + milliseconds{1};
    }
    return std::max(context_.limits.min_patience, part_of(target, factor));
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

/// When a request that has no server yet is given up.
steady_time request_flow::wait_limit() const
{
    if (route_->kind != route_kind::stream || has_started_) {
        return deadline_;
    }
    const auto patience = context_.protocol.stream_patience(*route_);
    return std::min(deadline_,
                    started_ + part_of(patience, context_.limits.waiting_part_of_patience));
}

scheduling::ask request_flow::make_ask() const
{
    scheduling::ask what;
    what.request_id = call_.attempt_id;
    what.account = account_ == nullptr ? std::string{} : account_->name;
    what.tier =
        tier_of(*routes_->content, account_ == nullptr ? 0 : account_->urgency, route_->urgency);
    what.model = call_.model;
    what.arrived = started_;
    what.deadline = wait_limit();
    what.complete_by = deadline_;
    what.goal =
        started_ + part_of(route_->target_latency, 1 - context_.limits.server_part_of_target);
    what.excluded = excluded_;
    what.prefix_blocks = call_.prefix_blocks;
    what.cost = plain_cost;
    if (call_.size) {
        what.prompt_tokens = call_.size->prompt_tokens;
        what.output_tokens = call_.expected_output_tokens.value_or(call_.size->max_output_tokens);
        what.cost = what.prompt_tokens + output_cost_factor * what.output_tokens;
    }
    what.allowance_cost = allowance_cost();
    return what;
}

asio::awaitable<void> request_flow::serve()
{
    bool is_planned = true;
    while (is_planned) {
        const bool has_credit = co_await acquire();
        if (!has_credit) {
            co_return;
        }
        co_await attempt();
        release();
        is_planned = plan_next();
    }
}

asio::awaitable<bool> request_flow::acquire()
{
    while (true) {
        auto ask = make_ask();
        const auto decision = co_await wait_for_credit(context_.credits, service_, std::move(ask));
        const bool is_ownerless =
            !decision.granted && decision.why.code == granting::code_no_granter;
        if (is_ownerless && time_left() > context_.limits.owner_wait) {
            asio::steady_timer pause{co_await asio::this_coro::executor,
                                     context_.limits.owner_wait};
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (!decision.granted) {
            refusal_ = decision.why;
            is_refused_ = true;
            co_return false;
        }
        credit_ = *decision.granted;
        has_credit_ = true;
        end_ = attempt_end::stopped;
        is_sent_ = false;
        const bool is_usable = may_dispatch(context_.replicas, credit_.backend_id);
        if (is_usable && context_.credits.confirm(call_.attempt_id)) {
            co_return true;
        }
        if (!is_usable) {
            excluded_.push_back(credit_.backend_id);
        }
        release();
    }
}

asio::awaitable<void> request_flow::attempt()
{
    dispatched_ = context_.clock.now();
    first_event_ = {};
    response_ = {};
    events_before_ = events_.count();
    cause_.clear();
    const auto size = call_.size.value_or(call_size{});
    context_.decisions.add(call_.attempt_id, log_level::info, "dispatch",
                           {{"request", call_.attempt_id},
                            {"route", route_->name},
                            {"backend", credit_.backend_id},
                            {"credit", credit_.credit_id},
                            {"manifest", routes_->content->version},
                            {"prompt_tokens", whole(size.prompt_tokens)},
                            {"expected_tokens", whole(call_.expected_output_tokens.value_or(0))},
                            {"max_tokens", whole(size.max_output_tokens)},
                            {"waited_ms", since(started_, dispatched_).count()},
                            {"left_ms", time_left().count()}});
    const bool is_connected = co_await connect();
    if (!is_connected) {
        end_ = attempt_end::unreachable;
        ++unreachable_;
        co_return;
    }
    const bool is_answered = co_await send();
    if (is_answered) {
        co_await take_response();
    }
}

asio::awaitable<bool> request_flow::connect()
{
    connection_ = context_.connections.take(server_key());
    if (connection_) {
        co_return true;
    }
    connection_.emplace(co_await asio::this_coro::executor);
    connection_->keep_alive(true);
    endpoint_text address;
    parse_endpoint(credit_.backend_address, address);
    cause_ = co_await connection_->connect(address, context_.limits.connect);
    if (!cause_.empty()) {
        connection_.reset();
        co_return false;
    }
    connection_->set_silence_limit(context_.limits.silence);
    context_.metrics.add("almondline_backend_connections_total", {{"service", service_}});
    co_return true;
}

/// Sends the request and reads the header of its response. Returns false if that failed.
asio::awaitable<bool> request_flow::send()
{
    const auto wait = patience(route_->target_latency, context_.limits.latency_patience);
    is_sent_ = true;
    ++servers_reached_;
    if (call_.message.body.size() > context_.limits.max_body_sent_first) {
        cause_ = co_await send_beside_reading(wait);
    }
    else {
        cause_ = co_await write();
        if (cause_.empty()) {
            cause_ = co_await read_own_header(wait);
        }
    }
    if (cause_.empty()) {
        co_return true;
    }
    may_have_run_ = true;
    const bool is_timeout = context_.clock.now() - dispatched_ >= wait;
    end_ = is_timeout ? attempt_end::silent : attempt_end::broken;
    connection_.reset();
    co_return false;
}

asio::awaitable<std::string> request_flow::write()
{
    dispatch_order order;
    order.backend_id = credit_.backend_id;
    order.account = account_ == nullptr ? std::string{} : account_->name;
    order.time_left = time_left();
    if (has_started_) {
        order.resume_after = events_.last_id();
    }
    const auto message = context_.protocol.encode(call_, order);
    auto error = co_await connection_->write_request(message, time_left());
    is_written_ = error.empty();
    co_return error;
}

/// Sends a long body while the response is awaited. A server that answers early may never read the
/// rest; the connection carries no other request then.
asio::awaitable<std::string> request_flow::send_beside_reading(milliseconds patience)
{
    is_written_ = false;
    const auto [write_error, read_error] =
        co_await (write() && read_header_and_stop_writing(patience));
    co_return read_error;
}

asio::awaitable<std::string> request_flow::read_header_and_stop_writing(milliseconds patience)
{
    auto error = co_await read_own_header(patience);
    if (!is_written_) {
        connection_->stop_writing();
    }
    co_return error;
}

/// Reads response headers until one belongs to this request: a late response to an earlier request
/// of the connection may come first.
asio::awaitable<std::string> request_flow::read_own_header(milliseconds patience)
{
    for (int i = 0; i < context_.limits.max_foreign_responses; ++i) {
        response_ = {};
        const auto error = co_await connection_->read_header(response_, patience);
        if (!error.empty()) {
            co_return error;
        }
        if (context_.protocol.classify(call_, response_) != reply_kind::foreign) {
            co_return std::string{};
        }
        std::string unused;
        bool is_done = false;
        while (!is_done && unused.size() <= context_.limits.max_response_body) {
            const auto body_error = co_await connection_->read_some(unused, is_done, patience);
            if (!body_error.empty()) {
                co_return body_error;
            }
        }
    }
    co_return "only responses to other requests came";
}

asio::awaitable<void> request_flow::take_response()
{
    const auto kind = context_.protocol.classify(call_, response_);
    if (kind == reply_kind::invalid) {
        may_have_run_ = true;
        end_ = attempt_end::broken;
        cause_ = "invalid response with status " + std::to_string(response_.status);
        connection_.reset();
        co_return;
    }
    const bool is_stream = is_event_stream(response_);
    if (kind == reply_kind::success && has_started_ && !is_stream) {
        end_ = attempt_end::broken;
        cause_ = "the stream was resumed with a response that is no stream";
        connection_.reset();
        co_return;
    }
    if (kind == reply_kind::success && is_stream) {
        may_have_run_ = true;
        co_await relay_events();
        co_return;
    }
    may_have_run_ = may_have_run_ || kind != reply_kind::not_run;
    co_await read_body(patience(route_->target_latency, context_.limits.latency_patience));
    if (!connection_) {
        co_return;
    }
    end_ = kind == reply_kind::success   ? attempt_end::completed
           : kind == reply_kind::not_run ? attempt_end::not_run
                                         : attempt_end::failure_reply;
    if (kind != reply_kind::success) {
        cause_ = "status " + std::to_string(response_.status);
    }
    keep_connection();
}

asio::awaitable<void> request_flow::read_body(milliseconds patience)
{
    bool is_done = false;
    while (!is_done) {
        cause_ = co_await connection_->read_some(response_.body, is_done, patience);
        if (cause_.empty() && response_.body.size() > context_.limits.max_response_body) {
            cause_ = "the response is longer than the limit";
        }
        if (!cause_.empty()) {
            end_ = attempt_end::broken;
            connection_.reset();
            co_return;
        }
    }
}

void request_flow::keep_connection()
{
    context_.connections.put(server_key(), std::move(*connection_), response_);
    connection_.reset();
}

asio::awaitable<void> request_flow::relay_events()
{
    bool is_done = false;
    std::string data;
    std::string whole;
    auto wait = patience(route_->target_latency, context_.limits.latency_patience);
    while (!is_done) {
        data.clear();
        whole.clear();
        const auto begin = context_.clock.now();
        cause_ = co_await connection_->read_some(data, is_done, wait);
        const bool is_in_limit = events_.split(data, whole);
        bool is_passed_on = true;
        if (!whole.empty()) {
            is_passed_on = co_await pass_on(whole);
        }
        if (!is_passed_on) {
            stop(stop_cause::caller_left);
            co_return;
        }
        if (cause_.empty() && is_in_limit) {
            wait = first_event_ == steady_time{}
                       ? wait
                       : patience(route_->target_gap, context_.limits.gap_patience);
            continue;
        }
        end_ = context_.clock.now() - begin >= wait ? attempt_end::silent : attempt_end::broken;
        connection_.reset();
        co_return;
    }
    if (!events_.is_at_boundary()) {
        end_ = attempt_end::broken;
        cause_ = "the stream ended within an event";
        connection_.reset();
        co_return;
    }
    end_ = attempt_end::completed;
    keep_connection();
}

/// Sends whole events to the caller, after the header if they are the first ones. Returns false if
/// the caller is gone.
asio::awaitable<bool> request_flow::pass_on(const std::string& events)
{
    const auto now = context_.clock.now();
    if (first_event_ == steady_time{}) {
        first_event_ = now;
    }
    if (!has_started_) {
        has_started_ = true;
        context_.metrics.observe("almondline_first_event_seconds", {{"service", service_}},
                                 now - started_);
        auto headers = forwarded_headers(response_.headers);
        const bool is_started =
            co_await exchange_.start_stream(response_.status, std::move(headers));
        if (!is_started) {
            co_return false;
        }
    }
    co_return co_await exchange_.write_chunk(events);
}

void request_flow::release()
{
    if (!has_credit_) {
        return;
    }
    has_credit_ = false;
    const auto now = context_.clock.now();
    const auto* service = find_service(*routes_->content, service_);
    granting::release_report report;
    report.outcome = outcome_of(end_, is_sent_, response_.status >= first_server_error);
    report.duration = since(dispatched_, now);
    if (call_.size) {
        const auto events = static_cast<double>(events_.count() - events_before_);
        report.prompt_tokens = call_.size->prompt_tokens;
        report.output_tokens = events * (service == nullptr ? 1 : service->tokens_per_event);
        report.actual_cost = report.prompt_tokens + output_cost_factor * report.output_tokens;
    }
    if (first_event_ != steady_time{}) {
        report.first_token = since(dispatched_, first_event_);
    }
    context_.credits.release(call_.attempt_id, report);
}

attempt_facts request_flow::facts() const
{
    attempt_facts out;
    out.end = end_;
    out.kind = route_->kind;
    out.is_resumable = route_->is_resumable;
    out.is_server_error = response_.status >= first_server_error;
    out.has_started = has_started_;
    out.has_event_ids = events_.last_id() > 0;
    out.servers_reached = servers_reached_;
    out.max_attempts = route_->max_attempts;
    out.unreachable_servers = unreachable_;
    out.has_time = time_left() > context_.limits.min_attempt_time;
    return out;
}

/// Prepares another attempt. Returns false if there is none.
bool request_flow::plan_next()
{
    const auto now = context_.clock.now();
    const auto current = facts();
    const auto step = decide_next(current);
    if (step == next_step::answer || step == next_step::cut) {
        return false;
    }
    if (needs_retry_budget(current, step) &&
        !take_repeat(context_.retries, service_, context_.instance_count(), now)) {
        context_.metrics.add("almondline_retries_refused_total", {{"service", service_}});
        return false;
    }
    excluded_.push_back(credit_.backend_id);
    events_ = backend::event_splitter{events_.last_id()};
    context_.metrics.add("almondline_retries_total", {{"service", service_}});
    context_.decisions.add(call_.attempt_id, log_level::info, "retry",
                           {{"request", call_.attempt_id},
                            {"backend", credit_.backend_id},
                            {"end", to_string(end_)},
                            {"cause", cause_},
                            {"after_event", events_.last_id()}});
    return true;
}

void request_flow::stop(stop_cause cause)
{
    stopped_ = cause;
    if (end_ != attempt_end::completed) {
        end_ = is_server_silent() ? attempt_end::silent : attempt_end::stopped;
    }
    may_have_run_ = may_have_run_ || is_sent_;
    connection_.reset();
    release();
}

/// True if nothing came from the server for so long that it, not the caller, is to blame for the
/// end of the request.
bool request_flow::is_server_silent() const
{
    if (!is_sent_ || first_event_ != steady_time{}) {
        return false;
    }
    const auto limits = context_.limits;
    const auto wanted = part_of(route_->target_latency, limits.latency_patience);
    return context_.clock.now() - dispatched_ >= std::max(limits.min_patience, wanted);
}

asio::awaitable<void> request_flow::finish()
{
    if (stopped_ == stop_cause::caller_left) {
        log_end(0, "caller-left");
        exchange_.abort();
        co_return;
    }
    if (has_started_) {
        const bool is_complete = end_ == attempt_end::completed;
        log_end(response_.status, is_complete ? "ok" : "cut");
        bool is_ended = false;
        if (is_complete) {
            is_ended = co_await exchange_.end_stream();
        }
        if (!is_ended) {
            exchange_.abort();
        }
        co_return;
    }
    if (stopped_ == stop_cause::time_up) {
        refusal why{may_have_run_ ? verdict::may_have_run : verdict::not_run, "time-up",
                    "the time of the route or of the caller is up",
                    context_.limits.default_retry_after};
        co_await refuse(may_have_run_ ? 504 : 503, std::move(why));
        co_return;
    }
    co_await answer();
}

asio::awaitable<void> request_flow::answer()
{
    if (end_ == attempt_end::completed || end_ == attempt_end::failure_reply) {
        const int status = response_.status;
        // These statuses promise that the request never runs, and this one ran.
        const bool is_false_promise =
            end_ == attempt_end::failure_reply && is_promise_of_not_run(status);
        if (!is_false_promise) {
            log_end(status, to_string(end_));
            http_response response{status, forwarded_headers(response_.headers),
                                   std::move(response_.body)};
            co_await exchange_.reply(std::move(response));
            co_return;
        }
    }
    refusal why = refusal_;
    if (!is_refused_) {
        why = {verdict::not_run, std::string{to_string(end_)}, cause_,
               context_.limits.default_retry_after};
    }
    if (may_have_run_) {
        why.run = verdict::may_have_run;
        co_await refuse(502, std::move(why));
        co_return;
    }
    const int status = status_of(why);
    co_await refuse(status, std::move(why));
}

asio::awaitable<void> request_flow::refuse(int status, refusal why)
{
    log_end(status, why.code);
    auto response = context_.protocol.refuse(call_.attempt_id, status, why);
    co_await exchange_.reply(std::move(response));
}

void request_flow::log_end(int status, std::string_view code)
{
    const auto now = context_.clock.now();
    const auto name = route_ == nullptr ? std::string{} : route_->name;
    context_.metrics.add("almondline_requests_total", {{"service", service_}, {"code", code}});
    context_.metrics.observe("almondline_request_seconds", {{"service", service_}}, now - started_);
    context_.decisions.add(call_.attempt_id, log_level::info, "answer",
                           {{"request", call_.attempt_id},
                            {"route", name},
                            {"account", account_ == nullptr ? std::string{} : account_->name},
                            {"status", status},
                            {"code", code},
                            {"backend", credit_.backend_id},
                            {"end", to_string(end_)},
                            {"cause", cause_},
                            {"events", events_.count()},
                            {"servers", servers_reached_},
                            {"may_have_run", may_have_run_ ? 1 : 0},
                            {"ms", since(started_, now).count()}});
}

} // namespace almondline::gateway
