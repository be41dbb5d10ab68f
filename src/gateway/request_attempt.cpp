#include "gateway/internal/durations.h"
#include "gateway/internal/forwarding_headers.h"
#include "gateway/request_flow.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>

/// The steps of one attempt at a backend server.
namespace almondline::gateway {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;
using std::chrono::milliseconds;

namespace {

std::int64_t whole(double amount)
{
    return static_cast<std::int64_t>(amount);
}

bool is_event_stream(const http_response& response)
{
    return find_header(response.headers, "Content-Type").starts_with("text/event-stream");
}

} // namespace

asio::awaitable<void> request_flow::attempt()
{
    dispatched_ = context_.clock.now();
    first_event_ = {};
    response_ = {};
    is_server_leaving_ = false;
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
    ip_endpoint address;
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
    const auto wait =
        response_timeout(route_->target_latency, context_.limits.latency_timeout_factor);
    is_sent_ = true;
    ++servers_reached_;
    if (call_.message.body.size() > context_.limits.max_body_sent_first) {
        cause_ = co_await write_while_reading(wait);
    }
    else {
        cause_ = co_await write();
        if (cause_.empty()) {
            cause_ = co_await read_matching_header(wait);
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
    dispatch_metadata order;
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
asio::awaitable<std::string> request_flow::write_while_reading(milliseconds response_timeout)
{
    is_written_ = false;
    const auto [write_error, read_error] =
        co_await (write() && read_header_and_stop_writing(response_timeout));
    co_return read_error;
}

asio::awaitable<std::string>
request_flow::read_header_and_stop_writing(milliseconds response_timeout)
{
    auto error = co_await read_matching_header(response_timeout);
    if (!is_written_) {
        connection_->stop_writing();
    }
    co_return error;
}

/// Reads response headers until one belongs to this request: a late response to an earlier request
/// of the connection may come first.
asio::awaitable<std::string> request_flow::read_matching_header(milliseconds response_timeout)
{
    for (int i = 0; i < context_.limits.max_foreign_responses; ++i) {
        response_ = {};
        const auto error = co_await connection_->read_header(response_, response_timeout);
        if (!error.empty()) {
            co_return error;
        }
        const auto notice = context_.protocol.read_notice(response_);
        is_server_leaving_ = is_server_leaving_ || notice.is_leaving;
        context_.on_notice(credit_.backend_id, notice);
        if (context_.protocol.classify(call_, response_) != reply_kind::foreign) {
            co_return std::string{};
        }
        std::size_t skipped = 0;
        bool is_done = false;
        while (!is_done && skipped <= context_.limits.max_response_body) {
            std::string unused;
            const auto body_error =
                co_await connection_->read_some(unused, is_done, response_timeout);
            if (!body_error.empty()) {
                co_return body_error;
            }
            skipped += unused.size();
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
    co_await read_body(
        response_timeout(route_->target_latency, context_.limits.latency_timeout_factor));
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

asio::awaitable<void> request_flow::read_body(milliseconds response_timeout)
{
    bool is_done = false;
    while (!is_done) {
        cause_ = co_await connection_->read_some(response_.body, is_done, response_timeout);
        const auto size = response_.body.size();
        if (cause_.empty() && size > context_.limits.max_response_body) {
            cause_ = "the response is longer than the limit";
        }
        if (cause_.empty() && !response_memory_.resize(size)) {
            cause_ = "responses take all of their part of the memory";
        }
        if (!cause_.empty()) {
            end_ = attempt_end::broken;
            connection_.reset();
            response_.body = {};
            response_memory_.resize(0);
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
    auto wait = response_timeout(route_->target_latency, context_.limits.latency_timeout_factor);
    // Only whole events are progress: a stalled server may still send a byte now and then.
    auto progress = context_.clock.now();
    auto last_id = events_.last_id();
    while (!is_done) {
        data.clear();
        whole.clear();
        const auto left = wait - since(progress, context_.clock.now());
        cause_ = co_await connection_->read_some(data, is_done, std::max(left, milliseconds{1}));
        const bool is_in_limit = events_.split(data, whole);
        bool is_passed_on = true;
        if (!whole.empty()) {
            is_passed_on = co_await pass_on(whole);
        }
        if (!is_passed_on) {
            stop(stop_cause::caller_left);
            co_return;
        }
        // Comments keep a connection open and say nothing of the work.
        const bool has_progress = events_.last_id() != last_id;
        if (has_progress || (last_id == 0 && !whole.empty())) {
            last_id = events_.last_id();
            progress = context_.clock.now();
            wait = response_timeout(route_->target_gap, context_.limits.gap_timeout_factor);
        }
        const bool is_stalled = !is_done && context_.clock.now() - progress >= wait;
        if (cause_.empty() && is_in_limit && !is_stalled) {
            continue;
        }
        if (cause_.empty()) {
            cause_ = is_stalled ? "no whole event came in time" : "an event is above the limit";
        }
        end_ = is_stalled ? attempt_end::silent : attempt_end::broken;
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

} // namespace almondline::gateway
