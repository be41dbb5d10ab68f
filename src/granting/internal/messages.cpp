#include "granting/internal/messages.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace almondline::granting {

namespace {

using std::chrono::milliseconds;

// Longer times would overflow the clock's resolution.
constexpr milliseconds max_time{std::chrono::hours{24 * 30}};

milliseconds read_time(std::int64_t ms)
{
    return milliseconds{std::clamp<std::int64_t>(ms, 0, max_time.count())};
}

double read_amount(double value)
{
    return std::isfinite(value) && value > 0 ? value : 0;
}

bool is_rate(double value)
{
    return std::isfinite(value) && value >= 0;
}

milliseconds time_until(steady_time then, steady_time now)
{
    if (then - now > max_time) {
        return max_time;
    }
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(then - now));
}

bool has_score(const routing::candidate& it)
{
    return it.state == routing::candidate_state::usable ||
           it.state == routing::candidate_state::probe;
}

wire::release_outcome::type to_wire(release_outcome outcome)
{
    switch (outcome) {
    case release_outcome::finished:
        return wire::release_outcome::finished;
    case release_outcome::not_dispatched:
        return wire::release_outcome::not_dispatched;
    case release_outcome::failed:
        return wire::release_outcome::failed;
    case release_outcome::unreachable:
        return wire::release_outcome::unreachable;
    case release_outcome::cancelled:
        break;
    }
    return wire::release_outcome::cancelled;
}

release_outcome from_wire(wire::release_outcome::type outcome)
{
    switch (outcome) {
    case wire::release_outcome::finished:
        return release_outcome::finished;
    case wire::release_outcome::not_dispatched:
        return release_outcome::not_dispatched;
    case wire::release_outcome::failed:
        return release_outcome::failed;
    case wire::release_outcome::unreachable:
        return release_outcome::unreachable;
    default:
        // Also for unknown values from newer versions: a cancelled request affects neither the
        // health nor the speed estimates of the backend server.
        return release_outcome::cancelled;
    }
}

} // namespace

wire::envelope make_credit_request_message(const std::string& pool,
                                           const scheduling::credit_request& request, bool resent,
                                           steady_time now)
{
    wire::ask_message ask;
    ask.request_id = request.request_id;
    ask.pool = pool;
    ask.tier = request.tier;
    ask.account = request.account;
    ask.kind = request.kind;
    ask.cost = request.cost;
    ask.deadline_ms = time_until(request.deadline, now).count();
    ask.estimated_service_ms = request.estimated_service.count();
    ask.__set_prefix_blocks({request.prefix_blocks.begin(), request.prefix_blocks.end()});
    if (!request.prefix_tokens.empty()) {
        ask.__set_prefix_tokens(request.prefix_tokens);
    }
    if (!request.fingerprints.empty()) {
        ask.__set_prompt_parts({request.fingerprints.begin(), request.fingerprints.end()});
    }
    ask.__set_prompt_tokens(request.prompt_tokens);
    ask.__set_output_tokens(request.output_tokens);
    if (request.complete_by != steady_time{}) {
        ask.__set_complete_ms(time_until(request.complete_by, now).count());
    }
    if (request.dispatch_by != steady_time{}) {
        ask.__set_goal_ms(time_until(request.dispatch_by, now).count());
    }
    if (request.allowance_cost > 0) {
        ask.__set_allowance_cost(request.allowance_cost);
    }
    ask.__set_resent(resent);
    ask.__set_excluded(request.excluded);
    if (!request.model.empty()) {
        ask.__set_model(request.model);
    }
    wire::envelope message;
    message.__set_ask(ask);
    return message;
}

scheduling::credit_request read_credit_request_message(const wire::ask_message& message,
                                                       const std::string& holder, int tier_count,
                                                       steady_time now)
{
    scheduling::credit_request request;
    request.request_id = message.request_id;
    request.holder = holder;
    request.account = message.account;
    request.kind = message.kind;
    request.tier = std::clamp(message.tier, 0, std::max(0, tier_count - 1));
    request.cost = read_amount(message.cost) > 0 ? message.cost : 1;
    request.prompt_tokens = read_amount(message.prompt_tokens);
    request.output_tokens = read_amount(message.output_tokens);
    request.allowance_cost = read_amount(message.allowance_cost);
    if (message.__isset.complete_ms) {
        request.complete_by = now + read_time(message.complete_ms);
    }
    if (message.__isset.goal_ms) {
        request.dispatch_by = now + read_time(message.goal_ms);
    }
    request.arrived = now;
    request.deadline = now + read_time(message.deadline_ms);
    request.estimated_service = read_time(message.estimated_service_ms);
    request.fingerprints.assign(message.prompt_parts.begin(), message.prompt_parts.end());
    request.prefix_blocks.assign(message.prefix_blocks.begin(), message.prefix_blocks.end());
    if (message.prefix_tokens.size() == message.prefix_blocks.size()) {
        request.prefix_tokens = message.prefix_tokens;
    }
    request.excluded = message.excluded;
    request.model = message.model;
    return request;
}

wire::envelope make_refusal_message(const std::string& pool, const std::string& request_id,
                                    const refusal& reason)
{
    wire::refusal_message refusal;
    refusal.request_id = request_id;
    refusal.pool = pool;
    refusal.code = reason.code;
    refusal.message = reason.message;
    refusal.retry_after_ms = reason.retry_after.count();
    wire::envelope message;
    message.__set_refusal(refusal);
    return message;
}

refusal read_refusal_message(const wire::refusal_message& message)
{
    return {verdict::not_run, message.code, message.message, read_time(message.retry_after_ms)};
}

wire::envelope make_release_message(const credit& granted, const release_report& report)
{
    wire::release_message release;
    release.request_id = granted.request_id;
    release.pool = granted.pool;
    release.credit_id = granted.credit_id;
    release.outcome = to_wire(report.outcome);
    if (report.actual_cost) {
        release.__set_actual_cost(*report.actual_cost);
    }
    release.__set_first_token_ms(report.first_token.count());
    release.__set_duration_ms(report.duration.count());
    release.__set_prompt_tokens(report.prompt_tokens);
    release.__set_output_tokens(report.output_tokens);
    release.__set_backend_id(granted.backend_id);
    if (report.is_server_leaving) {
        release.__set_server_leaving(true);
    }
    if (!report.crash_suspects.empty()) {
        release.__set_crashed_parts({report.crash_suspects.begin(), report.crash_suspects.end()});
    }
    wire::envelope message;
    message.__set_release(release);
    return message;
}

release_report read_release_message(const wire::release_message& message)
{
    release_report report;
    report.outcome = from_wire(message.outcome);
    if (message.__isset.actual_cost && std::isfinite(message.actual_cost)) {
        report.actual_cost = std::max(0.0, message.actual_cost);
    }
    report.first_token = read_time(message.first_token_ms);
    report.duration = read_time(message.duration_ms);
    report.prompt_tokens = read_amount(message.prompt_tokens);
    report.output_tokens = read_amount(message.output_tokens);
    report.is_server_leaving = message.server_leaving;
    report.crash_suspects.assign(message.crashed_parts.begin(), message.crashed_parts.end());
    return report;
}

wire::envelope make_server_report_message(const credit& granted, const server_report& report)
{
    wire::server_report_message out;
    out.request_id = granted.request_id;
    out.pool = granted.pool;
    out.credit_id = granted.credit_id;
    out.backend_id = granted.backend_id;
    if (report.is_leaving) {
        out.__set_leaving(true);
    }
    if (report.max_request_rate) {
        out.__set_requests_per_second(*report.max_request_rate);
    }
    wire::envelope message;
    message.__set_server_report(out);
    return message;
}

server_report read_server_report_message(const wire::server_report_message& message)
{
    server_report report;
    report.is_leaving = message.leaving;
    if (message.__isset.requests_per_second && is_rate(message.requests_per_second)) {
        report.max_request_rate = message.requests_per_second;
    }
    return report;
}

wire::envelope make_start_message(const credit& granted)
{
    wire::start_message out;
    out.pool = granted.pool;
    out.request_id = granted.request_id;
    out.credit_id = granted.credit_id;
    wire::envelope message;
    message.__set_start(out);
    return message;
}

wire::advertised_rate make_advertised_rate(const std::string& backend_id,
                                           const routing::advertised_rate& rate, steady_time now)
{
    wire::advertised_rate out;
    out.backend_id = backend_id;
    out.requests_per_second = rate.per_second;
    out.age_ms = std::chrono::duration_cast<milliseconds>(now - rate.advertised_at).count();
    return out;
}

std::optional<routing::advertised_rate> read_advertised_rate(const wire::advertised_rate& message,
                                                             steady_time now)
{
    if (!is_rate(message.requests_per_second)) {
        return std::nullopt;
    }
    return routing::advertised_rate{message.requests_per_second, now - read_time(message.age_ms)};
}

wire::envelope make_confirm_message(const credit& granted)
{
    wire::confirm_message confirmation;
    confirmation.request_id = granted.request_id;
    confirmation.pool = granted.pool;
    confirmation.credit_id = granted.credit_id;
    wire::envelope message;
    message.__set_confirmation(confirmation);
    return message;
}

wire::envelope make_cancel_message(const std::string& pool, const std::string& request_id)
{
    wire::cancel_message cancel;
    cancel.request_id = request_id;
    cancel.pool = pool;
    wire::envelope message;
    message.__set_cancel(cancel);
    return message;
}

routing::request_shape make_shape(const scheduling::credit_request& request,
                                  std::string failure_domain, steady_time now)
{
    routing::request_shape shape;
    if (request.dispatch_by != steady_time{}) {
        shape.first_token_objective = time_until(request.dispatch_by, now);
    }
    if (request.complete_by != steady_time{}) {
        shape.time_left = time_until(request.complete_by, now);
    }
    shape.request_id = request.request_id;
    shape.prompt_tokens = request.prompt_tokens;
    shape.output_tokens = request.output_tokens;
    shape.prefix_blocks = request.prefix_blocks;
    shape.prefix_tokens = request.prefix_tokens;
    shape.excluded = request.excluded;
    shape.model = request.model;
    shape.failure_domain = std::move(failure_domain);
    return shape;
}

std::string describe(const routing::candidate& it)
{
    if (!has_score(it)) {
        return it.id + "=" + routing::to_string(it.state);
    }
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.4g", it.score);
    return it.id + "=" + buf;
}

std::vector<std::string> describe_best(std::vector<routing::candidate> candidates,
                                       std::size_t max_count)
{
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
        return has_score(a) != has_score(b) ? has_score(a) : a.score < b.score;
    });
    std::vector<std::string> texts;
    for (const auto& it : candidates) {
        if (texts.size() >= max_count) {
            break;
        }
        texts.push_back(describe(it));
    }
    return texts;
}

std::string join(const std::vector<std::string>& parts)
{
    std::string text;
    for (const auto& it : parts) {
        text += text.empty() ? it : "," + it;
    }
    return text;
}

} // namespace almondline::granting
