#include "common/hash.h"
#include "gateway/internal/durations.h"
#include "gateway/internal/forwarding_headers.h"
#include "gateway/request_flow.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <utility>

/// Steps of one attempt to run a request on a backend server.
namespace almondline::gateway {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;
using std::chrono::milliseconds;

namespace {

std::int64_t to_integer(double amount)
{
    return static_cast<std::int64_t>(amount);
}

std::string join_hex(const std::vector<std::uint64_t>& ids)
{
    std::string out;
    for (const auto it : ids) {
        out += (out.empty() ? "" : ",") + to_hex(it);
    }
    return out;
}

bool is_event_stream(const http_response& response)
{
    return find_header(response.headers, "Content-Type").starts_with("text/event-stream");
}

} // namespace

void request_flow::start_attempt(granting::credit granted)
{
    credit_ = std::move(granted);
    has_credit_ = true;
    end_ = attempt_end::stopped;
    is_sent_ = false;
    dispatched_ = context_.clock.now();
    last_progress_ = dispatched_;
    silence_limit_ = silence_limit_before_response();
    first_event_ = {};
    response_ = {};
    is_start_reported_ = false;
    is_server_leaving_ = false;
    has_server_crashed_ = false;
    cause_.clear();
}

asio::awaitable<void> request_flow::run_on_server()
{
    const auto size = call_.size.value_or(call_size{});
    context_.decisions.add(
        call_.attempt_id, log_level::info, "dispatch",
        {{"request", call_.attempt_id},
         {"route", route_->name},
         {"backend", credit_.backend_id},
         {"credit", credit_.credit_id},
         {"manifest", routes_->content->version},
         {"prompt_tokens", to_integer(size.prompt_tokens)},
         {"expected_tokens", to_integer(call_.expected_output_tokens.value_or(0))},
         {"max_tokens", to_integer(size.max_output_tokens)},
         {"waited_ms", since(started_, dispatched_).count()},
         {"left_ms", time_left().count()}});
    const bool is_connected = co_await connect();
    if (!is_connected) {
        end_ = attempt_end::unreachable;
        ++unreachable_servers_;
        co_return;
    }
    const bool is_answered = co_await send();
    if (is_answered) {
        co_await handle_response();
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
    cause_ = co_await connection_->connect(address, context_.limits.connect_timeout);
    if (!cause_.empty()) {
        connection_.reset();
        co_return false;
    }
    connection_->set_unacknowledged_timeout(context_.limits.unacknowledged_timeout);
    context_.metrics.add("almondline_backend_connections_total", {{"service", service_}});
    co_return true;
}

/// Sends the request and reads the header of its response. Returns false on failure.
asio::awaitable<bool> request_flow::send()
{
    is_sent_ = true;
    ++servers_reached_;
    note_progress();
    if (call_.message.body.size() > context_.limits.max_body_sent_before_reading) {
        cause_ = co_await write_while_reading();
    }
    else {
        cause_ = co_await write();
        if (cause_.empty()) {
            cause_ = co_await read_matching_header();
        }
    }
    if (cause_.empty()) {
        co_return true;
    }
    may_have_run_ = true;
    end_ = attempt_end::broken;
    connection_.reset();
    co_return false;
}

asio::awaitable<std::string> request_flow::write()
{
    dispatch_metadata metadata;
    metadata.backend_id = credit_.backend_id;
    metadata.account = account_name();
    metadata.time_left = time_left();
    if (has_started_) {
        metadata.resume_after = events_.last_id();
    }
    const auto message = context_.protocol.encode(call_, metadata);
    auto error = co_await connection_->write_request(message, time_left());
    is_written_ = error.empty();
    co_return error;
}

/// Sends a long body while reading the response. A server that answers early may never read the
/// rest of the body; the connection is not reused then.
asio::awaitable<std::string> request_flow::write_while_reading()
{
    is_written_ = false;
    const auto [write_error, read_error] = co_await (write() && read_header_and_stop_writing());
    co_return read_error;
}

asio::awaitable<std::string> request_flow::read_header_and_stop_writing()
{
    auto error = co_await read_matching_header();
    if (!is_written_) {
        connection_->stop_writing();
    }
    co_return error;
}

/// Reads response headers until one belongs to this request, because a late response to an earlier
/// request on the connection may come first.
asio::awaitable<std::string> request_flow::read_matching_header()
{
    for (int i = 0; i < context_.limits.max_mismatched_responses; ++i) {
        response_ = {};
        const auto error = co_await connection_->read_header(response_, read_timeout());
        if (!error.empty()) {
            co_return error;
        }
        const auto kind = context_.protocol.classify(call_, response_);
        handle_notice(context_.protocol.read_notice(response_), kind);
        if (kind != reply_kind::mismatched) {
            co_return std::string{};
        }
        std::size_t skipped = 0;
        bool is_done = false;
        while (!is_done && skipped <= context_.limits.max_response_body) {
            std::string unused;
            const auto body_error =
                co_await connection_->read_some(unused, is_done, read_timeout());
            if (!body_error.empty()) {
                co_return body_error;
            }
            skipped += unused.size();
        }
    }
    co_return "received only responses to other requests";
}

void request_flow::handle_notice(const server_notice& notice, reply_kind kind)
{
    is_server_leaving_ = is_server_leaving_ || notice.is_leaving;
    context_.on_notice(credit_.backend_id, notice);
    // Only a usable response to this request shows that the server no longer advertises a rate.
    const bool is_own_response = kind != reply_kind::mismatched && kind != reply_kind::invalid;
    if (is_own_response || notice.max_request_rate) {
        context_.credits.note_server(credit_.request_id,
                                     {notice.is_leaving, notice.max_request_rate});
    }
}

asio::awaitable<void> request_flow::handle_response()
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
        cause_ = "the response to a resumed stream is not an event stream";
        connection_.reset();
        co_return;
    }
    if (kind == reply_kind::success && is_stream) {
        may_have_run_ = true;
        co_await relay_events();
        co_return;
    }
    may_have_run_ = may_have_run_ || kind != reply_kind::not_run;
    co_await read_body();
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

asio::awaitable<void> request_flow::read_body()
{
    bool is_done = false;
    while (!is_done) {
        cause_ = co_await connection_->read_some(response_.body, is_done, read_timeout());
        note_progress();
        const auto size = response_.body.size();
        if (cause_.empty() && size > context_.limits.max_response_body) {
            cause_ = "the response body exceeds the size limit";
        }
        if (cause_.empty() && !response_memory_.resize(size)) {
            cause_ = "the memory for response bodies is used up";
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

asio::awaitable<void> request_flow::check_crash()
{
    const auto now = context_.clock.now();
    const bool has_progressed = first_event_ != steady_time{} &&
                                now - first_event_ >= context_.limits.crash_after_first_event;
    if (end_ != attempt_end::broken || has_progressed) {
        co_return;
    }
    ip_endpoint address;
    parse_endpoint(credit_.backend_address, address);
    const auto found =
        co_await probe_listener(std::move(address), context_.limits.crash_check_timeout);
    if (found != probe_result::refused) {
        co_return;
    }
    has_server_crashed_ = true;
    context_.metrics.add("almondline_server_crashes_total", {{"service", service_}});
    context_.decisions.add(call_.attempt_id, log_level::warning, "server-crashed",
                           {{"request", call_.attempt_id},
                            {"backend", credit_.backend_id},
                            {"account", account_name()},
                            {"cause", cause_},
                            {"events", events_.count()},
                            {"request_fingerprint", to_hex(fingerprints_.back())},
                            {"prompt_parts", join_hex(call_.prompt_parts)}});
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
    std::string events;
    auto last_id = events_.last_id();
    while (!is_done) {
        data.clear();
        events.clear();
        cause_ = co_await connection_->read_some(data, is_done, read_timeout());
        if (replacement_) {
            co_return;
        }
        const bool is_in_limit = events_.split(data, events);
        bool is_forwarded = true;
        if (!events.empty()) {
            is_forwarded = co_await forward_events(events);
        }
        if (!is_forwarded) {
            stop(stop_cause::caller_left);
            co_return;
        }
        report_start();
        // Only complete events count as progress: a stalled server may still send single bytes or
        // comments, which only keep the connection alive.
        const bool has_progress = events_.last_id() != last_id;
        if (has_progress || (last_id == 0 && !events.empty())) {
            last_id = events_.last_id();
            note_progress();
            silence_limit_ = silence_limit(route_->target_gap, context_.limits.gap_timeout_factor);
        }
        if (cause_.empty() && events_.has_unplaced_event()) {
            cause_ = "an event of the resumed stream has no id";
        }
        if (cause_.empty() && is_in_limit) {
            continue;
        }
        if (cause_.empty()) {
            cause_ = "an event exceeds the size limit";
        }
        end_ = attempt_end::broken;
        connection_.reset();
        co_return;
    }
    // A server that crashes before its first event ends such a response in the same way.
    const bool is_empty = events_.count() == 0 && connection_->is_ended_by_close();
    if (!events_.is_at_boundary() || is_empty || events_.is_behind()) {
        end_ = attempt_end::broken;
        cause_ = is_empty              ? "the connection ended before the first event"
                 : events_.is_behind() ? "the stream started again and ended too early"
                                       : "the stream ended in the middle of an event";
        connection_.reset();
        co_return;
    }
    end_ = attempt_end::completed;
    keep_connection();
}

void request_flow::report_start()
{
    const bool has_begun =
        first_event_ != steady_time{} &&
        context_.clock.now() - first_event_ >= context_.limits.crash_after_first_event;
    if (credit_.is_start_awaited && has_begun && !std::exchange(is_start_reported_, true)) {
        context_.credits.report_start(credit_.request_id);
    }
}

/// Sends complete events to the caller, preceded by the response header if they are the first ones.
/// Returns false if the caller has disconnected.
asio::awaitable<bool> request_flow::forward_events(const std::string& events)
{
    const auto now = context_.clock.now();
    is_forwarding_ = true;
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
    const bool is_written = co_await exchange_.write_chunk(events);
    is_forwarding_ = false;
    co_return is_written;
}

} // namespace almondline::gateway
