#include "gateway/internal/request_end.h"

#include "gateway/internal/attempt_run.h"
#include "gateway/internal/durations.h"
#include "gateway/internal/guarded_work.h"
#include "gateway/internal/held_response.h"
#include "gateway/internal/request_flow_state.h"
#include "gateway/internal/request_times.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace almondline::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

steady_time end_time(const request_flow& flow)
{
    const auto& current = flow.attempts.current;
    const bool is_dispatched = std::any_of(current.begin(), current.end(), has_credit);
    const auto& context = flow.context;
    return latest_end(flow.request, context.answer_times, context.stop, is_dispatched);
}

/// True if the server sent nothing for so long that the end of the request counts as its failure,
/// not as a cancellation by the caller.
bool has_server_timed_out(const request_flow& flow, const server_attempt& attempt)
{
    if (!is_sent(attempt) || attempt.first_event != steady_time{}) {
        return false;
    }
    const auto& context = flow.context;
    return context.clock.now() - attempt.dispatched >=
           silence_limit_before_response(*flow.request.route, context.limits);
}

} // namespace

asio::awaitable<void> wait_for_end(request_flow& flow)
{
    const auto& clock = flow.context.clock;
    while (clock.now() < end_time(flow)) {
        const auto left = since(clock.now(), end_time(flow));
        flow.end_timer.expires_after(left + milliseconds{1});
        co_await flow.end_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto state = co_await asio::this_coro::cancellation_state;
        if (state.cancelled() != asio::cancellation_type::none) {
            co_return; // without another await, which would throw in a cancelled coroutine
        }
    }
}

void update_end(request_flow& flow)
{
    if (is_stopping(flow.context.stop)) {
        flow.end_timer.cancel();
    }
}

void stop_request(request_flow& flow, stop_cause cause)
{
    auto& attempts = flow.attempts;
    flow.answer.stopped = cause;
    for (auto& it : attempts.current) {
        if (!has_credit(it)) {
            continue;
        }
        if (it.result != attempt_end::completed) {
            it.cause = describe(cause);
            it.result =
                has_server_timed_out(flow, it) ? attempt_end::timed_out : attempt_end::stopped;
        }
        attempts.may_have_run = attempts.may_have_run || is_sent(it);
        it.connection.reset();
        end_attempt(flow, it);
    }
}

void fail_request(request_flow& flow, const std::string& reason)
{
    auto& attempts = flow.attempts;
    log_error(flow.context.decisions, flow.request.received.attempt_id, "request-failed", reason);
    flow.answer.refusal_cause = reason;
    for (auto& it : attempts.current) {
        attempts.may_have_run = attempts.may_have_run || is_sent(it);
        if (has_credit(it)) {
            break_off(it, reason);
            end_attempt(flow, it);
        }
    }
}

} // namespace almondline::gateway
