#include "gateway/internal/attempt_run.h"

#include "gateway/internal/attempt_connection.h"
#include "gateway/internal/attempt_response.h"
#include "gateway/internal/attempt_results.h"
#include "gateway/internal/attempt_sending.h"
#include "gateway/internal/attempt_silence.h"
#include "gateway/internal/crash_check.h"
#include "gateway/internal/credit_release.h"
#include "gateway/internal/durations.h"
#include "gateway/internal/guarded_work.h"
#include "gateway/internal/held_response.h"
#include "gateway/internal/request_times.h"

#include <boost/asio/this_coro.hpp>
#include <utility>

namespace almondline::gateway {

namespace asio = boost::asio;

namespace {

std::int64_t to_integer(double amount)
{
    return static_cast<std::int64_t>(amount);
}

void log_dispatch(const request_flow& flow, const server_attempt& attempt)
{
    const auto& request = flow.request;
    const auto& received = request.received;
    const auto size = received.size.value_or(call_size{});
    flow.context.decisions.add(
        received.attempt_id, log_level::info, "dispatch",
        {{"request", received.attempt_id},
         {"route", request.route->name},
         {"backend", attempt.credit.backend_id},
         {"credit", attempt.credit.credit_id},
         {"manifest", request.routes->content->version},
         {"prompt_tokens", to_integer(size.prompt_tokens)},
         {"expected_tokens", to_integer(received.expected_output_tokens.value_or(0))},
         {"max_tokens", to_integer(size.max_output_tokens)},
         {"waited_ms", since(request.started, attempt.dispatched).count()},
         {"left_ms", time_left(request, flow.context.clock.now()).count()}});
}

void log_attempt_end(const request_flow& flow, const server_attempt& attempt)
{
    const auto& id = flow.request.received.attempt_id;
    const auto now = flow.context.clock.now();
    flow.context.decisions.add(id, log_level::info, "attempt-ended",
                               {{"request", id},
                                {"backend", attempt.credit.backend_id},
                                {"end", to_string(end_of(attempt))},
                                {"cause", attempt.cause},
                                {"superseded", is_superseded(attempt) ? 1 : 0},
                                {"events", attempt.events.count()},
                                {"ms", since(attempt.dispatched, now).count()}});
}

asio::awaitable<void> run_on_server(request_flow& flow, server_attempt& attempt)
{
    log_dispatch(flow, attempt);
    const bool is_connected = co_await open_connection(flow.context, flow.attempts, attempt);
    if (!is_connected) {
        co_return;
    }
    const bool is_answered = co_await send_request(flow, attempt);
    if (is_answered) {
        co_await handle_response(flow, attempt);
    }
}

/// Ends an attempt because of an error in its processing.
void fail_attempt(request_flow& flow, server_attempt& attempt, const std::string& reason)
{
    log_error(flow.context.decisions, flow.request.received.attempt_id, "attempt-failed", reason);
    flow.attempts.may_have_run = flow.attempts.may_have_run || is_sent(attempt);
    break_off(attempt, reason);
    if (attempt.is_forwarding) {
        // How much of the part reached the caller is not known, so the stream can't be resumed.
        attempt.result = attempt_end::stopped;
    }
}

} // namespace

server_attempt& add_attempt(request_flow& flow, granting::credit granted)
{
    auto& context = flow.context;
    auto& attempts = flow.attempts;
    const double share = is_any_running(attempts) ? context.limits.hedge_memory_share : 1;
    const auto max_bytes =
        static_cast<std::uint64_t>(static_cast<double>(context.max_response_bytes) * share);
    auto& out =
        attempts.current.emplace_back(std::move(granted), flow.request.service,
                                      flow.answer.last_event_id, context.response_bytes, max_bytes);
    out.dispatched = context.clock.now();
    out.last_progress = out.dispatched;
    out.silence_limit = silence_limit_before_response(*flow.request.route, context.limits);
    return out;
}

asio::awaitable<void> run_attempt(request_flow& flow, server_attempt& attempt)
{
    const error_handler on_error = [&](const std::string& reason) {
        fail_attempt(flow, attempt, reason);
    };
    co_await run_guarded(run_on_server(flow, attempt), on_error);
    auto state = co_await asio::this_coro::cancellation_state;
    if (state.cancelled() == asio::cancellation_type::none) {
        attempt.stage = attempt_stage::ended;
        flow.attempts.changed.cancel();
        co_await run_guarded(check_crash(flow.context, flow.request, attempt), on_error);
        state = co_await asio::this_coro::cancellation_state;
    }
    if (state.cancelled() != asio::cancellation_type::none) {
        co_return; // stop_request() ends the attempt
    }
    flow.credits.excluded.push_back(attempt.credit.backend_id);
    if (is_superseded(attempt)) {
        drop_response(attempt);
    }
    end_attempt(flow, attempt);
}

void end_attempt(request_flow& flow, server_attempt& attempt)
{
    if (flow.attempts.current.size() > 1) {
        log_attempt_end(flow, attempt);
    }
    release_credit(flow.context, flow.request, flow.attempts, attempt);
}

} // namespace almondline::gateway
