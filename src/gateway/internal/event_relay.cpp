#include "gateway/internal/event_relay.h"

#include "backend/event_stream.h"
#include "gateway/internal/attempt_claim.h"
#include "gateway/internal/attempt_connection.h"
#include "gateway/internal/attempt_silence.h"
#include "gateway/internal/forwarding_headers.h"
#include "gateway/internal/held_response.h"
#include "gateway/internal/request_flow_state.h"
#include "gateway/internal/request_times.h"

#include <utility>

namespace almondline::gateway {

namespace asio = boost::asio;

namespace {

/// Empties a buffer. Keeps its memory unless that would need a reservation.
void clear(std::string& buf, const flow_limits& limits)
{
    buf.clear();
    if (buf.capacity() > limits.unreserved_response_bytes) {
        buf.shrink_to_fit();
    }
}

/// Returns whether what was received of a stream may be sent to the caller now.
bool may_forward(const request_flow& flow, const server_attempt& attempt, bool has_event)
{
    if (has_event || attempt.unforwarded.empty()) {
        return has_event;
    }
    // Comments before the first event would bind the caller's response to a server that may never
    // send an event.
    return has_started(flow.answer) ? is_only_running(flow.attempts, attempt)
                                    : !is_repeatable(flow.request);
}

/// Reports once to the granter, if it awaits this, that the response has begun without a crash.
void report_start(gateway_context& context, server_attempt& attempt)
{
    const bool has_begun =
        attempt.first_event != steady_time{} &&
        context.clock.now() - attempt.first_event >= context.limits.crash_after_first_event;
    if (attempt.credit.is_start_awaited && has_begun) {
        attempt.credit.is_start_awaited = false;
        context.credits.report_start(attempt.credit.request_id);
    }
}

/// Sends data of a stream to the caller, preceded by the header if nothing was sent before. Returns
/// false if the caller has disconnected.
asio::awaitable<bool> send_to_caller(request_flow& flow, const http_response& header,
                                     const std::string& data)
{
    bool is_written = true;
    if (!has_started(flow.answer)) {
        const auto now = flow.context.clock.now();
        flow.answer.stream_started = now;
        flow.context.metrics.observe("almondline_first_event_seconds",
                                     {{"service", flow.request.service}},
                                     now - flow.request.started);
        auto headers = forwarded_headers(header.headers);
        is_written = co_await flow.exchange.start_stream(header.status, std::move(headers));
    }
    if (is_written) {
        is_written = co_await flow.exchange.write_chunk(data);
    }
    co_return is_written;
}

/// Sends what was received of a stream to the caller. Ends the attempt and returns false if the
/// caller has disconnected.
asio::awaitable<bool> forward_events(request_flow& flow, server_attempt& attempt)
{
    attempt.is_forwarding = true;
    if (attempt.first_event == steady_time{}) {
        attempt.first_event = flow.context.clock.now();
    }
    flow.answer.last_event_id = attempt.events.last_id();
    const bool is_written = co_await send_to_caller(flow, attempt.response, attempt.unforwarded);
    clear(attempt.unforwarded, flow.context.limits);
    attempt.is_forwarding = false;
    if (!is_written) {
        flow.answer.stopped = stop_cause::caller_left;
        attempt.cause = describe(flow.answer.stopped);
        attempt.result = attempt_end::stopped;
        attempt.connection.reset();
    }
    co_return is_written;
}

/// Returns why what was received of a stream can't be relayed any further; empty if it can.
std::string find_fault(server_attempt& attempt, bool is_in_limit, const flow_limits& limits)
{
    const auto& events = attempt.events;
    if (events.has_unplaced_event()) {
        return "an event of the resumed stream has no id";
    }
    if (!is_in_limit || attempt.unforwarded.size() > backend::max_event_size) {
        return "an event exceeds the size limit";
    }
    const auto held_bytes = events.held_bytes() + attempt.unforwarded.capacity();
    return reserve_memory(attempt, held_bytes, limits) ? std::string{} : memory_used_up;
}

/// Reads and forwards the next part of a stream. Returns false if the attempt has ended.
asio::awaitable<bool> relay_part(request_flow& flow, server_attempt& attempt, bool& is_done)
{
    auto& context = flow.context;
    clear(attempt.received, context.limits);
    const auto timeout = io_timeout(flow.request, context.limits, context.clock.now());
    auto error = co_await attempt.connection->read_some(attempt.received, is_done, timeout);
    if (is_superseded(attempt)) {
        co_return false;
    }
    const auto count = attempt.events.count();
    const bool is_in_limit = attempt.events.split(attempt.received, attempt.unforwarded);
    // Only complete events count as progress: a stalled server may still send single bytes or
    // comments, which only keep the connection alive.
    const bool has_event = attempt.events.count() > count;
    if (has_event && !claim(flow.attempts, attempt, context.clock.now())) {
        co_return false;
    }
    if (has_event) {
        note_event(flow.answer.events, context.clock.now());
    }
    if (may_forward(flow, attempt, has_event)) {
        const bool is_forwarded = co_await forward_events(flow, attempt);
        if (!is_forwarded) {
            co_return false;
        }
    }
    report_start(context, attempt);
    if (has_event) {
        attempt.last_progress = context.clock.now();
        attempt.silence_limit = silence_limit_between_events(*flow.request.route, context.limits);
    }
    if (error.empty()) {
        error = find_fault(attempt, is_in_limit, context.limits);
    }
    if (!error.empty()) {
        break_off(attempt, std::move(error));
        co_return false;
    }
    co_return true;
}

/// Returns why a stream that ended is not complete; empty if it is.
std::string find_truncation(const server_attempt& attempt)
{
    const auto& events = attempt.events;
    // A server that crashes before its first event ends such a response in the same way.
    if (events.count() == 0 && attempt.connection->is_ended_by_close()) {
        return "the connection ended before the first event";
    }
    if (events.is_behind()) {
        return "the stream started again and ended too early";
    }
    return events.is_at_boundary() ? "" : "the stream ended in the middle of an event";
}

} // namespace

asio::awaitable<void> relay_events(request_flow& flow, server_attempt& attempt)
{
    bool is_done = false;
    while (!is_done) {
        const bool is_relayed = co_await relay_part(flow, attempt, is_done);
        if (!is_relayed) {
            co_return;
        }
    }
    auto truncation = find_truncation(attempt);
    if (!truncation.empty()) {
        break_off(attempt, std::move(truncation));
        co_return;
    }
    if (!claim(flow.attempts, attempt, flow.context.clock.now())) {
        co_return;
    }
    if (!attempt.unforwarded.empty()) {
        const bool is_forwarded = co_await forward_events(flow, attempt);
        if (!is_forwarded) {
            co_return;
        }
    }
    attempt.result = attempt_end::completed;
    keep_connection(flow.context, attempt);
}

} // namespace almondline::gateway
