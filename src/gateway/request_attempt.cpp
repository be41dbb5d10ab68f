#include "backend/event_stream.h"
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

constexpr const char* memory_used_up = "the memory for response bodies is used up";

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

std::string server_key(const granting::credit& granted)
{
    return granted.backend_id + "@" + granted.backend_address;
}

bool is_event_stream(const http_response& response)
{
    return find_header(response.headers, "Content-Type").starts_with("text/event-stream");
}

} // namespace

void request_flow::drop_response(server_attempt& attempt)
{
    attempt.connection.reset();
    attempt.response.body = {};
    attempt.unforwarded = {};
    attempt.events.drop_incomplete();
    attempt.response_memory.resize(0);
}

void request_flow::break_off(server_attempt& attempt, std::string cause)
{
    drop_response(attempt);
    if (!is_superseded(attempt)) {
        attempt.result = attempt_end::broken;
        attempt.cause = std::move(cause);
    }
}

/// Reserves memory for what is held of a response. Returns false if there is not enough.
bool request_flow::reserve_memory(server_attempt& attempt, std::size_t held_bytes) const
{
    const auto unreserved = std::min(held_bytes, context_.limits.unreserved_response_bytes);
    return attempt.response_memory.resize(held_bytes - unreserved);
}

asio::awaitable<void> request_flow::run_on_server(server_attempt& attempt)
{
    const auto size = call_.size.value_or(call_size{});
    context_.decisions.add(
        call_.attempt_id, log_level::info, "dispatch",
        {{"request", call_.attempt_id},
         {"route", route_->name},
         {"backend", attempt.credit.backend_id},
         {"credit", attempt.credit.credit_id},
         {"manifest", routes_->content->version},
         {"prompt_tokens", to_integer(size.prompt_tokens)},
         {"expected_tokens", to_integer(call_.expected_output_tokens.value_or(0))},
         {"max_tokens", to_integer(size.max_output_tokens)},
         {"waited_ms", since(started_, attempt.dispatched).count()},
         {"left_ms", time_left().count()}});
    const bool is_connected = co_await connect(attempt);
    if (!is_connected) {
        co_return;
    }
    const bool is_answered = co_await send(attempt);
    if (is_answered) {
        co_await handle_response(attempt);
    }
}

asio::awaitable<bool> request_flow::connect(server_attempt& attempt)
{
    attempt.connection = context_.connections.take(server_key(attempt.credit));
    if (attempt.connection) {
        co_return !is_superseded(attempt);
    }
    attempt.connection.emplace(co_await asio::this_coro::executor);
    attempt.connection->keep_alive(true);
    ip_endpoint address;
    parse_endpoint(attempt.credit.backend_address, address);
    auto error = co_await attempt.connection->connect(address, context_.limits.connect_timeout);
    if (is_superseded(attempt)) {
        co_return false;
    }
    if (!error.empty()) {
        attempt.connection.reset();
        attempt.result = attempt_end::unreachable;
        attempt.cause = std::move(error);
        ++unreachable_servers_;
        co_return false;
    }
    attempt.connection->set_unacknowledged_timeout(context_.limits.unacknowledged_timeout);
    context_.metrics.add("almondline_backend_connections_total", {{"service", attempt.service}});
    co_return true;
}

/// Sends the request and reads the header of its response. Returns false on failure.
asio::awaitable<bool> request_flow::send(server_attempt& attempt)
{
    attempt.sent = transfer::begun;
    ++servers_reached_;
    note_progress(attempt);
    std::string error;
    if (call_.message.body.size() > context_.limits.max_body_sent_before_reading) {
        error = co_await write_while_reading(attempt);
    }
    else {
        error = co_await write(attempt);
        if (error.empty()) {
            error = co_await read_matching_header(attempt);
        }
    }
    if (error.empty()) {
        co_return true;
    }
    may_have_run_ = true;
    break_off(attempt, std::move(error));
    co_return false;
}

asio::awaitable<std::string> request_flow::write(server_attempt& attempt)
{
    dispatch_metadata metadata;
    metadata.backend_id = attempt.credit.backend_id;
    metadata.account = account_name();
    metadata.time_left = time_left();
    if (has_started_) {
        metadata.resume_after = last_event_id_;
    }
    const auto head = context_.protocol.encode(call_, metadata);
    auto error = co_await attempt.connection->write_request(head, call_.message.body, io_timeout());
    if (error.empty()) {
        attempt.sent = transfer::complete;
    }
    co_return error;
}

/// Sends a long body while reading the response. A server that answers early may never read the
/// rest of the body; the connection is not reused then.
asio::awaitable<std::string> request_flow::write_while_reading(server_attempt& attempt)
{
    const auto [write_error, read_error] =
        co_await (write(attempt) && read_header_and_stop_writing(attempt));
    co_return read_error;
}

asio::awaitable<std::string> request_flow::read_header_and_stop_writing(server_attempt& attempt)
{
    auto error = co_await read_matching_header(attempt);
    if (attempt.sent != transfer::complete) {
        attempt.connection->stop_writing();
    }
    co_return error;
}

/// Reads response headers until one belongs to this request, because a late response to an earlier
/// request on the connection may come first.
asio::awaitable<std::string> request_flow::read_matching_header(server_attempt& attempt)
{
    auto& response = attempt.response;
    for (int i = 0; i < context_.limits.max_mismatched_responses; ++i) {
        response = {};
        const auto error = co_await attempt.connection->read_header(response, io_timeout());
        if (!error.empty()) {
            co_return error;
        }
        const auto kind = context_.protocol.classify(call_, response);
        handle_notice(attempt, context_.protocol.read_notice(response), kind);
        if (kind != reply_kind::mismatched) {
            co_return std::string{};
        }
        std::size_t skipped = 0;
        bool is_done = false;
        while (!is_done && skipped <= context_.limits.max_response_body) {
            std::string unused;
            const auto body_error =
                co_await attempt.connection->read_some(unused, is_done, io_timeout());
            if (!body_error.empty()) {
                co_return body_error;
            }
            skipped += unused.size();
        }
    }
    co_return "received only responses to other requests";
}

void request_flow::handle_notice(server_attempt& attempt, const server_notice& notice,
                                 reply_kind kind)
{
    attempt.is_server_leaving = attempt.is_server_leaving || notice.is_leaving;
    context_.on_notice(attempt.credit.backend_id, notice);
    // Only a usable response to this request shows that the server no longer advertises a rate.
    const bool is_own_response = kind != reply_kind::mismatched && kind != reply_kind::invalid;
    if (is_own_response || notice.max_request_rate) {
        context_.credits.note_server(attempt.credit.request_id,
                                     {notice.is_leaving, notice.max_request_rate});
    }
}

asio::awaitable<void> request_flow::handle_response(server_attempt& attempt)
{
    const int status = attempt.response.status;
    const auto kind = context_.protocol.classify(call_, attempt.response);
    if (kind == reply_kind::invalid) {
        may_have_run_ = true;
        break_off(attempt, "invalid response with status " + std::to_string(status));
        co_return;
    }
    const bool is_stream = is_event_stream(attempt.response);
    if (kind == reply_kind::success && has_started_ && !is_stream) {
        break_off(attempt, "the response to a resumed stream is not an event stream");
        co_return;
    }
    if (kind == reply_kind::success && is_stream) {
        may_have_run_ = true;
        co_await relay_events(attempt);
        co_return;
    }
    may_have_run_ = may_have_run_ || kind != reply_kind::not_run;
    const bool is_read = co_await read_body(attempt);
    if (!is_read) {
        co_return;
    }
    auto current = facts(&attempt);
    current.end = kind == reply_kind::success   ? attempt_end::completed
                  : kind == reply_kind::not_run ? attempt_end::not_run
                                                : attempt_end::failure_reply;
    const bool is_final =
        is_final_response(current) && (kind == reply_kind::success || !is_not_run_status(status));
    if (is_final && !claim(attempt)) {
        co_return;
    }
    attempt.result = current.end;
    if (kind != reply_kind::success) {
        attempt.cause = "status " + std::to_string(status);
    }
    keep_connection(attempt);
    if (!has_response_of_server(attempt) || has_started_) {
        drop_response(attempt);
    }
}

/// Reads the whole body. Returns false if the attempt has ended.
asio::awaitable<bool> request_flow::read_body(server_attempt& attempt)
{
    auto& body = attempt.response.body;
    bool is_done = false;
    while (!is_done) {
        auto error = co_await attempt.connection->read_some(body, is_done, io_timeout());
        note_progress(attempt);
        if (error.empty() && body.size() > context_.limits.max_response_body) {
            error = "the response body exceeds the size limit";
        }
        if (error.empty() && !reserve_memory(attempt, body.size())) {
            error = memory_used_up;
        }
        if (!error.empty() || is_superseded(attempt)) {
            break_off(attempt, std::move(error));
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<void> request_flow::check_crash(server_attempt& attempt)
{
    const auto now = context_.clock.now();
    const bool has_progressed =
        attempt.first_event != steady_time{} &&
        now - attempt.first_event >= context_.limits.crash_after_first_event;
    if (attempt.result != attempt_end::broken || has_progressed) {
        co_return;
    }
    ip_endpoint address;
    parse_endpoint(attempt.credit.backend_address, address);
    const auto found =
        co_await probe_listener(std::move(address), context_.limits.crash_check_timeout);
    if (found != probe_result::refused) {
        co_return;
    }
    attempt.has_server_crashed = true;
    context_.metrics.add("almondline_server_crashes_total", {{"service", attempt.service}});
    context_.decisions.add(call_.attempt_id, log_level::warning, "server-crashed",
                           {{"request", call_.attempt_id},
                            {"backend", attempt.credit.backend_id},
                            {"account", account_name()},
                            {"cause", attempt.cause},
                            {"events", attempt.events.count()},
                            {"request_fingerprint", to_hex(fingerprints_.back())},
                            {"prompt_parts", join_hex(call_.prompt_parts)}});
}

void request_flow::keep_connection(server_attempt& attempt)
{
    context_.connections.put(server_key(attempt.credit), std::move(*attempt.connection),
                             attempt.response);
    attempt.connection.reset();
}

asio::awaitable<void> request_flow::relay_events(server_attempt& attempt)
{
    bool is_done = false;
    while (!is_done) {
        const bool is_relayed = co_await relay_part(attempt, is_done);
        if (!is_relayed) {
            co_return;
        }
    }
    const auto& events = attempt.events;
    // A server that crashes before its first event ends such a response in the same way.
    const bool is_empty = events.count() == 0 && attempt.connection->is_ended_by_close();
    if (!events.is_at_boundary() || is_empty || events.is_behind()) {
        break_off(attempt, is_empty             ? "the connection ended before the first event"
                           : events.is_behind() ? "the stream started again and ended too early"
                                                : "the stream ended in the middle of an event");
        co_return;
    }
    if (!claim(attempt)) {
        co_return;
    }
    if (!attempt.unforwarded.empty()) {
        const bool is_forwarded = co_await forward_events(attempt);
        if (!is_forwarded) {
            co_return;
        }
    }
    attempt.result = attempt_end::completed;
    keep_connection(attempt);
}

asio::awaitable<bool> request_flow::relay_part(server_attempt& attempt, bool& is_done)
{
    std::string data;
    auto error = co_await attempt.connection->read_some(data, is_done, io_timeout());
    if (is_superseded(attempt)) {
        co_return false;
    }
    const auto count = attempt.events.count();
    const bool is_in_limit = attempt.events.split(data, attempt.unforwarded);
    // Only complete events count as progress: a stalled server may still send single bytes or
    // comments, which only keep the connection alive.
    const bool has_event = attempt.events.count() > count;
    if (has_event && !claim(attempt)) {
        co_return false;
    }
    if (may_forward(attempt, has_event)) {
        const bool is_forwarded = co_await forward_events(attempt);
        if (!is_forwarded) {
            co_return false;
        }
    }
    report_start(attempt);
    if (has_event) {
        note_progress(attempt);
        attempt.silence_limit =
            silence_limit(route_->target_gap, context_.limits.gap_timeout_factor);
    }
    if (error.empty() && attempt.events.has_unplaced_event()) {
        error = "an event of the resumed stream has no id";
    }
    if (error.empty() && (!is_in_limit || attempt.unforwarded.size() > backend::max_event_size)) {
        error = "an event exceeds the size limit";
    }
    if (error.empty() &&
        !reserve_memory(attempt, attempt.events.held_bytes() + attempt.unforwarded.capacity())) {
        error = memory_used_up;
    }
    if (!error.empty()) {
        break_off(attempt, std::move(error));
        co_return false;
    }
    co_return true;
}

bool request_flow::may_forward(const server_attempt& attempt, bool has_event) const
{
    if (has_event || attempt.unforwarded.empty()) {
        return has_event;
    }
    // Comments before the first event would bind the caller's response to a server that may never
    // send an event.
    return has_started_ ? is_only_running(attempt) : !is_repeatable();
}

void request_flow::report_start(server_attempt& attempt)
{
    const bool has_begun =
        attempt.first_event != steady_time{} &&
        context_.clock.now() - attempt.first_event >= context_.limits.crash_after_first_event;
    if (attempt.credit.is_start_awaited && has_begun) {
        attempt.credit.is_start_awaited = false;
        context_.credits.report_start(attempt.credit.request_id);
    }
}

/// Sends what was received of a stream to the caller, preceded by the response header if nothing
/// was sent before. Ends the attempt and returns false if the caller has disconnected.
asio::awaitable<bool> request_flow::forward_events(server_attempt& attempt)
{
    const auto now = context_.clock.now();
    attempt.is_forwarding = true;
    if (attempt.first_event == steady_time{}) {
        attempt.first_event = now;
    }
    last_event_id_ = attempt.events.last_id();
    bool is_written = true;
    if (!std::exchange(has_started_, true)) {
        context_.metrics.observe("almondline_first_event_seconds", {{"service", service_}},
                                 now - started_);
        auto headers = forwarded_headers(attempt.response.headers);
        is_written = co_await exchange_.start_stream(attempt.response.status, std::move(headers));
    }
    if (is_written) {
        is_written = co_await exchange_.write_chunk(attempt.unforwarded);
    }
    attempt.unforwarded.clear();
    if (attempt.unforwarded.capacity() > context_.limits.unreserved_response_bytes) {
        attempt.unforwarded.shrink_to_fit();
    }
    attempt.is_forwarding = false;
    if (!is_written) {
        stopped_ = stop_cause::caller_left;
        attempt.cause = describe(stopped_);
        attempt.result = attempt_end::stopped;
        attempt.connection.reset();
    }
    co_return is_written;
}

} // namespace almondline::gateway
