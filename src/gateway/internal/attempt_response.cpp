#include "gateway/internal/attempt_response.h"

#include "gateway/internal/attempt_claim.h"
#include "gateway/internal/attempt_connection.h"
#include "gateway/internal/attempt_results.h"
#include "gateway/internal/event_relay.h"
#include "gateway/internal/forwarding_headers.h"
#include "gateway/internal/held_response.h"
#include "gateway/internal/request_times.h"

#include <utility>

namespace almondline::gateway {

namespace asio = boost::asio;

namespace {

bool is_event_stream(const http_response& response)
{
    return find_header(response.headers, "Content-Type").starts_with("text/event-stream");
}

attempt_end end_of(reply_kind kind)
{
    if (kind == reply_kind::success) {
        return attempt_end::completed;
    }
    return kind == reply_kind::not_run ? attempt_end::not_run : attempt_end::failure_reply;
}

/// Reads the whole body. Returns false if the attempt has ended.
asio::awaitable<bool> read_body(const gateway_context& context, const request_state& request,
                                server_attempt& attempt)
{
    const auto& limits = context.limits;
    auto& body = attempt.response.body;
    bool is_done = false;
    while (!is_done) {
        const auto timeout = io_timeout(request, limits, context.clock.now());
        auto error = co_await attempt.connection->read_some(body, is_done, timeout);
        attempt.last_progress = context.clock.now();
        if (error.empty() && body.size() > limits.max_response_body) {
            error = "the response body exceeds the size limit";
        }
        if (error.empty() && !reserve_memory(attempt, body.size(), limits)) {
            error = memory_used_up;
        }
        if (!error.empty() || is_superseded(attempt)) {
            break_off(attempt, std::move(error));
            co_return false;
        }
    }
    co_return true;
}

/// Ends an attempt whose response was read completely.
void complete(request_flow& flow, server_attempt& attempt, reply_kind kind)
{
    const int status = attempt.response.status;
    auto current = make_facts(flow, &attempt);
    current.end = end_of(kind);
    const bool is_final =
        is_final_response(current) && (kind == reply_kind::success || !is_not_run_status(status));
    if (is_final && !claim(flow.attempts, attempt, flow.context.clock.now())) {
        return;
    }
    attempt.result = current.end;
    if (kind != reply_kind::success) {
        attempt.cause = "status " + std::to_string(status);
    }
    keep_connection(flow.context, attempt);
    if (!has_response_of_server(attempt) || has_started(flow.answer)) {
        drop_response(attempt);
    }
}

} // namespace

asio::awaitable<void> handle_response(request_flow& flow, server_attempt& attempt)
{
    auto& may_have_run = flow.attempts.may_have_run;
    const auto kind = flow.context.protocol.classify(flow.request.received, attempt.response);
    if (kind == reply_kind::invalid) {
        may_have_run = true;
        break_off(attempt,
                  "invalid response with status " + std::to_string(attempt.response.status));
        co_return;
    }
    const bool is_stream = is_event_stream(attempt.response);
    if (kind == reply_kind::success && has_started(flow.answer) && !is_stream) {
        break_off(attempt, "the response to a resumed stream is not an event stream");
        co_return;
    }
    if (kind == reply_kind::success && is_stream) {
        may_have_run = true;
        co_await relay_events(flow, attempt);
        co_return;
    }
    may_have_run = may_have_run || kind != reply_kind::not_run;
    const bool is_read = co_await read_body(flow.context, flow.request, attempt);
    if (is_read) {
        complete(flow, attempt, kind);
    }
}

} // namespace almondline::gateway
