#include "gateway/internal/durations.h"
#include "gateway/request_flow.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

/// Asks other servers while those that have the request are silent. A silent server may be sound
/// and answer after all, and another one may be full, fail or fall silent as well, so each keeps
/// the request until one of them delivers.
namespace almondline::gateway {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;
using std::chrono::milliseconds;

namespace {

milliseconds silent_for(const server_attempt& attempt, steady_time now)
{
    return since(attempt.last_progress, now);
}

std::string describe_silence(const server_attempt& attempt, steady_time now)
{
    return "silent for " + std::to_string(silent_for(attempt, now).count()) + " ms";
}

} // namespace

asio::awaitable<void> request_flow::run_hedged(server_attempt& first)
{
    const bool is_last = attempts_.size() == 1 && servers_reached_ + 1 >= route_->max_attempts;
    if (is_last || !is_repeatable()) {
        co_await run_attempt(first);
        co_return;
    }
    const error_handler on_error = [this](const std::string& reason) {
        log_error("hedge-failed", reason);
    };
    co_await (run_attempt(first) && run_guarded(add_server(), on_error));
}

asio::awaitable<void> request_flow::run_attempt(server_attempt& attempt)
{
    const error_handler on_error = [&](const std::string& reason) {
        fail_attempt(attempt, reason);
    };
    co_await run_guarded(run_on_server(attempt), on_error);
    auto state = co_await asio::this_coro::cancellation_state;
    if (state.cancelled() == asio::cancellation_type::none) {
        attempt.stage = attempt_stage::ended;
        attempts_timer_->cancel();
        co_await run_guarded(check_crash(attempt), on_error);
        state = co_await asio::this_coro::cancellation_state;
    }
    if (state.cancelled() != asio::cancellation_type::none) {
        co_return; // stop() ends the attempt
    }
    excluded_.push_back(attempt.credit.backend_id);
    if (is_superseded(attempt)) {
        drop_response(attempt);
    }
    end_attempt(attempt);
}

void request_flow::end_attempt(server_attempt& attempt)
{
    if (attempts_.size() > 1) {
        log_attempt_end(attempt);
    }
    release_credit(attempt);
}

void request_flow::fail_attempt(server_attempt& attempt, const std::string& reason)
{
    log_error("attempt-failed", reason);
    may_have_run_ = may_have_run_ || is_sent(attempt);
    break_off(attempt, reason);
    if (attempt.is_forwarding) {
        // How much of the part reached the caller is not known, so the stream can't be resumed.
        attempt.result = attempt_end::stopped;
    }
}

asio::awaitable<void> request_flow::add_server()
{
    auto reserved = co_await reserve_when_silent();
    if (!reserved) {
        co_return;
    }
    std::string silent;
    std::string cause;
    const auto now = context_.clock.now();
    for (const auto& it : attempts_) {
        if (is_running(it)) {
            silent += (silent.empty() ? "" : ",") + it.credit.backend_id;
            cause = describe_silence(it, now);
        }
    }
    context_.metrics.add("almondline_retries_total", {{"service", service_}});
    context_.metrics.add("almondline_hedged_attempts_total", {{"service", service_}});
    context_.decisions.add(call_.attempt_id, log_level::info, "hedge",
                           {{"request", call_.attempt_id},
                            {"backend", reserved->backend_id},
                            {"silent", silent},
                            {"cause", cause},
                            {"after_event", last_event_id_}});
    co_await run_hedged(add_attempt(std::move(*reserved)));
}

asio::awaitable<std::optional<granting::credit>> request_flow::reserve_when_silent()
{
    auto retry_delay = context_.limits.replacement_retry_delay;
    while (is_any_running()) {
        auto pause = std::max(time_until_silent(), context_.limits.silence_check_interval);
        if (are_servers_silent()) {
            std::optional<granting::credit> reserved;
            is_reserving_ = true;
            co_await (reserve_server(reserved) || wait_for_attempts(time_left()));
            is_reserving_ = false;
            if (reserved && are_servers_silent()) {
                co_return reserved;
            }
            if (reserved) {
                return_unused(*reserved);
            }
            pause = retry_delay;
            retry_delay = std::min(2 * retry_delay, context_.limits.max_replacement_retry_delay);
        }
        if (is_any_running()) {
            co_await wait_for_attempts(pause);
        }
    }
    co_return std::nullopt;
}

asio::awaitable<void> request_flow::wait_for_attempts(milliseconds pause)
{
    attempts_timer_->expires_after(pause);
    co_await attempts_timer_->async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> request_flow::reserve_server(std::optional<granting::credit>& reserved)
{
    const auto instances = context_.instance_count();
    if (!may_ask_another(facts(nullptr)) ||
        !has_retry_left(context_.retries, service_, instances, context_.clock.now())) {
        co_return;
    }
    // The credits of the silent servers are in use under other ids.
    auto id = call_.attempt_id + "/" + std::to_string(++credits_asked_);
    const auto result = co_await request_credit(std::move(id));
    if (!result.granted) {
        co_return;
    }
    const bool is_usable =
        are_servers_silent() && may_ask_another(facts(nullptr)) && confirm(*result.granted) &&
        consume_retry(context_.retries, service_, instances, context_.clock.now());
    if (!is_usable) {
        return_unused(*result.granted);
        co_return;
    }
    reserved = result.granted;
}

bool request_flow::is_any_running() const
{
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [](const auto& it) { return is_running(it); });
}

bool request_flow::is_only_running(const server_attempt& attempt) const
{
    return std::none_of(attempts_.begin(), attempts_.end(),
                        [&](const auto& it) { return is_running(it) && &it != &attempt; });
}

bool request_flow::is_silent(const server_attempt& attempt) const
{
    // A caller that reads slowly makes the server wait.
    return is_sent(attempt) && !attempt.is_forwarding &&
           silent_for(attempt, context_.clock.now()) >= attempt.silence_limit;
}

bool request_flow::are_servers_silent() const
{
    return is_any_running() && std::all_of(attempts_.begin(), attempts_.end(), [&](const auto& it) {
               return !is_running(it) || is_silent(it);
           });
}

milliseconds request_flow::time_until_silent() const
{
    milliseconds out{0};
    for (const auto& it : attempts_) {
        if (is_running(it)) {
            out = std::max(out, it.silence_limit - silent_for(it, context_.clock.now()));
        }
    }
    return out;
}

bool request_flow::claim(server_attempt& attempt)
{
    if (is_superseded(attempt)) {
        return false;
    }
    for (auto& it : attempts_) {
        if (&it == &attempt) {
            it.delivered = delivery::latest;
        }
        else if (is_running(it)) {
            supersede(it, attempt);
        }
        else if (has_delivered(it)) {
            it.delivered = delivery::none;
        }
    }
    if (is_reserving_) {
        attempts_timer_->cancel();
    }
    return true;
}

void request_flow::supersede(server_attempt& attempt, const server_attempt& winner)
{
    const auto now = context_.clock.now();
    attempt.cause = describe_silence(attempt, now) + ", " + winner.credit.backend_id + " delivered";
    // The first to fall silent counts as failed; one that was asked since has had no time.
    attempt.result = is_silent(attempt) ? attempt_end::timed_out : attempt_end::stopped;
    attempt.delivered = delivery::superseded;
    may_have_run_ = may_have_run_ || is_sent(attempt);
    if (attempt.connection) {
        attempt.connection->close();
    }
}

void request_flow::log_attempt_end(const server_attempt& attempt)
{
    context_.decisions.add(call_.attempt_id, log_level::info, "attempt-ended",
                           {{"request", call_.attempt_id},
                            {"backend", attempt.credit.backend_id},
                            {"end", to_string(attempt.result.value_or(attempt_end::stopped))},
                            {"cause", attempt.cause},
                            {"superseded", is_superseded(attempt) ? 1 : 0},
                            {"events", attempt.events.count()},
                            {"ms", since(attempt.dispatched, context_.clock.now()).count()}});
}

} // namespace almondline::gateway
