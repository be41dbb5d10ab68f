#include "gateway/internal/request_admission.h"

#include "common/hash.h"
#include "gateway/internal/request_service.h"
#include "gateway/internal/request_times.h"
#include "gateway/request_fingerprint.h"

#include <algorithm>
#include <string>

namespace almondline::gateway {

namespace {

constexpr std::size_t logged_hash_length = 12;

gateway_refusal refuse_not_run(int status, std::string code, std::string text)
{
    return {status, {verdict::not_run, std::move(code), std::move(text), {}}};
}

/// Finds the route and the account.
std::optional<gateway_refusal> identify(request_state& request)
{
    const auto& received = request.received;
    request.route =
        find_route(*request.routes, received.host, target_path(received.message.target));
    if (request.route == nullptr) {
        return refuse_not_run(404, "no-route", "no route has this host and path");
    }
    if (!request.routes->content->needs_keys || request.route->is_public) {
        return std::nullopt;
    }
    request.account = find_account_of_key(*request.routes, received.key);
    if (request.account == nullptr) {
        auto out = refuse_not_run(401, "unknown-key", "the key belongs to no account");
        out.cause = "key hash " + sha256_hex(received.key).substr(0, logged_hash_length);
        return out;
    }
    return std::nullopt;
}

} // namespace

std::optional<gateway_refusal> admit(gateway_context& context, request_state& request)
{
    request.routes = context.routes();
    request.admission_routes = request.routes;
    if (!request.routes) {
        auto out = refuse_not_run(503, "no-manifest", "no manifest is known yet");
        out.reason.retry_after = context.limits.default_retry_after;
        return out;
    }
    if (auto out = identify(request)) {
        return out;
    }
    if (request.received.attempt_id.empty()) {
        return refuse_not_run(400, "no-id", "the request names no attempt");
    }
    const auto& route = *request.route;
    const auto limit = std::min(route.timeout, request.received.time_limit.value_or(route.timeout));
    request.deadline = request.started + limit;
    if (!accepts_requests(context.stop, request.started) ||
        request.started > latest_dispatch(request, context.answer_times, context.stop)) {
        return refuse_stopping(false);
    }
    request.fingerprints = fingerprints_of(request.received, account_name(request));
    assign_service(request, route, context.random);
    return std::nullopt;
}

} // namespace almondline::gateway
