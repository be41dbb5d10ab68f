#include "gateway/internal/hedging.h"

#include "gateway/internal/attempt_results.h"
#include "gateway/internal/attempt_run.h"
#include "gateway/internal/attempt_silence.h"
#include "gateway/internal/credit_acquisition.h"
#include "gateway/internal/guarded_work.h"
#include "gateway/internal/request_times.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

namespace almondline::gateway {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;
using std::chrono::milliseconds;

namespace {

bool is_silent(const request_flow& flow)
{
    return are_servers_silent(flow.attempts, flow.context.clock.now());
}

bool may_add_server(const request_flow& flow)
{
    return may_ask_another(make_facts(flow, nullptr));
}

/// Returns when an attempt has ended or delivered, or after the pause.
asio::awaitable<void> wait_for_attempts(request_attempts& attempts, milliseconds pause)
{
    attempts.changed.expires_after(pause);
    co_await attempts.changed.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Fills in a confirmed credit, or nothing if there is none or the silence is over.
asio::awaitable<void> reserve_server(request_flow& flow, std::optional<granting::credit>& reserved)
{
    auto& context = flow.context;
    const auto& service = flow.request.service;
    const auto instances = context.instance_count();
    if (!may_add_server(flow) ||
        !has_retry_left(context.retries, service, instances, context.clock.now())) {
        co_return;
    }
    // The credits of the silent servers are in use under other ids.
    auto id = flow.request.received.attempt_id + "/" + std::to_string(++flow.credits.hedges_asked);
    const auto result = co_await request_credit(flow, std::move(id));
    if (!result.granted) {
        co_return;
    }
    const bool is_usable = is_silent(flow) && may_add_server(flow) &&
                           confirm_credit(context, flow.credits, *result.granted) &&
                           consume_retry(context.retries, service, instances, context.clock.now());
    if (!is_usable) {
        return_unused(context, *result.granted);
        co_return;
    }
    reserved = result.granted;
}

/// Reserves a server when all others are silent. Returns nothing if all attempts ended meanwhile.
asio::awaitable<std::optional<granting::credit>> reserve_when_silent(request_flow& flow)
{
    const auto& limits = flow.context.limits;
    auto& attempts = flow.attempts;
    auto retry_delay = limits.replacement_retry_delay;
    while (is_any_running(attempts)) {
        const auto now = flow.context.clock.now();
        auto pause = std::max(time_until_silent(attempts, now), limits.silence_check_interval);
        if (is_silent(flow)) {
            std::optional<granting::credit> reserved;
            attempts.is_reserving = true;
            co_await (reserve_server(flow, reserved) ||
                      wait_for_attempts(attempts, time_left(flow.request, now)));
            attempts.is_reserving = false;
            if (reserved && is_silent(flow)) {
                co_return reserved;
            }
            if (reserved) {
                return_unused(flow.context, *reserved);
            }
            pause = retry_delay;
            retry_delay = std::min(2 * retry_delay, limits.max_replacement_retry_delay);
        }
        if (is_any_running(attempts)) {
            co_await wait_for_attempts(attempts, pause);
        }
    }
    co_return std::nullopt;
}

void log_hedge(const request_flow& flow, const granting::credit& reserved)
{
    std::string silent;
    std::string cause;
    const auto now = flow.context.clock.now();
    for (const auto& it : flow.attempts.current) {
        if (is_running(it)) {
            silent += (silent.empty() ? "" : ",") + it.credit.backend_id;
            cause = describe_silence(it, now);
        }
    }
    const auto& id = flow.request.received.attempt_id;
    flow.context.decisions.add(id, log_level::info, "hedge",
                               {{"request", id},
                                {"backend", reserved.backend_id},
                                {"silent", silent},
                                {"cause", cause},
                                {"after_event", flow.answer.last_event_id}});
}

/// Reserves a server when all others are silent, and runs the request there too.
asio::awaitable<void> add_server(request_flow& flow)
{
    auto reserved = co_await reserve_when_silent(flow);
    if (!reserved) {
        co_return;
    }
    const auto& service = flow.request.service;
    flow.context.metrics.add("almondline_retries_total", {{"service", service}});
    flow.context.metrics.add("almondline_hedged_attempts_total", {{"service", service}});
    log_hedge(flow, *reserved);
    co_await run_hedged(flow, add_attempt(flow, std::move(*reserved)));
}

} // namespace

asio::awaitable<void> run_hedged(request_flow& flow, server_attempt& first)
{
    const auto& attempts = flow.attempts;
    const bool is_last = attempts.current.size() == 1 &&
                         attempts.servers_reached + 1 >= flow.request.route->max_attempts;
    if (is_last || !is_repeatable(flow.request)) {
        co_await run_attempt(flow, first);
        co_return;
    }
    const error_handler on_error = [&flow](const std::string& reason) {
        log_error(flow.context.decisions, flow.request.received.attempt_id, "hedge-failed", reason);
    };
    co_await (run_attempt(flow, first) && run_guarded(add_server(flow), on_error));
}

} // namespace almondline::gateway
