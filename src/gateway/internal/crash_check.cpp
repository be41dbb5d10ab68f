#include "gateway/internal/crash_check.h"

#include "common/hash.h"

#include <utility>
#include <vector>

namespace almondline::gateway {

namespace asio = boost::asio;

namespace {

std::string join_hex(const std::vector<std::uint64_t>& ids)
{
    std::string out;
    for (const auto it : ids) {
        out += (out.empty() ? "" : ",") + to_hex(it);
    }
    return out;
}

} // namespace

asio::awaitable<void> check_crash(gateway_context& context, const request_state& request,
                                  server_attempt& attempt)
{
    const bool has_progressed =
        attempt.first_event != steady_time{} &&
        context.clock.now() - attempt.first_event >= context.limits.crash_after_first_event;
    if (attempt.result != attempt_end::broken || has_progressed) {
        co_return;
    }
    ip_endpoint address;
    parse_endpoint(attempt.credit.backend_address, address);
    const auto found =
        co_await probe_listener(std::move(address), context.limits.crash_check_timeout);
    if (found != probe_result::refused) {
        co_return;
    }
    attempt.has_server_crashed = true;
    context.metrics.add("almondline_server_crashes_total", {{"service", attempt.service}});
    context.decisions.add(request.received.attempt_id, log_level::warning, "server-crashed",
                          {{"request", request.received.attempt_id},
                           {"backend", attempt.credit.backend_id},
                           {"account", account_name(request)},
                           {"cause", attempt.cause},
                           {"events", attempt.events.count()},
                           {"request_fingerprint", to_hex(request.fingerprints.back())},
                           {"prompt_parts", join_hex(request.received.prompt_parts)}});
}

} // namespace almondline::gateway
