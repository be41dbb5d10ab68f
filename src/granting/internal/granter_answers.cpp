#include "granting/internal/granter_core.h"
#include "granting/internal/load_messages.h"
#include "granting/internal/messages.h"

#include <algorithm>

/// What a granter sends to the holders.
namespace almondline::granting {

using std::chrono::milliseconds;

void granter_core::flush()
{
    if (is_flushing_) {
        return;
    }
    is_flushing_ = true;
    while (!outbox_.empty()) {
        const auto next = std::move(outbox_.front());
        outbox_.pop_front();
        sender_.send(next.first, next.second);
    }
    is_flushing_ = false;
}

wire::slice_load granter_core::load_at(steady_time now) const
{
    return to_wire(make_slice_load(queue, slots_at(now)));
}

void granter_core::send_grant(const issued_credit& entry,
                              const std::vector<std::string>& candidates, steady_time now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(entry.granted.expires - now);
    wire::grant_message grant;
    grant.request_id = entry.granted.request_id;
    grant.pool = settings.pool;
    grant.credit_id = entry.granted.credit_id;
    grant.backend_id = entry.granted.backend_id;
    grant.backend_address = entry.granted.backend_address;
    grant.lifetime_ms = std::max(milliseconds{0}, left - settings.expiry_margin).count();
    grant.__set_reason(entry.granted.reason);
    grant.__set_candidates(candidates);
    if (entry.granted.is_rate_limited) {
        grant.__set_rate_limited(true);
    }
    if (entry.granted.is_start_awaited) {
        grant.__set_start_awaited(true);
    }
    if (settings.reports_load) {
        grant.__set_load(load_at(now));
    }
    wire::envelope message;
    message.__set_grant(grant);
    outbox_.emplace_back(entry.holder, std::move(message));
}

void granter_core::refuse(const scheduling::credit_request& request, const refusal& reason,
                          std::string_view event)
{
    bypassed_since_.erase(request.request_id);
    settle_allowance(request.request_id, false, clock.now());
    ++counters.refusals;
    counters.sheds += event == "shed" ? 1 : 0;
    decisions_.add(request.request_id, log_level::info, event,
                   {{"request", request.request_id},
                    {"pool", settings.pool},
                    {"tier", request.tier},
                    {"account", request.account},
                    {"kind", request.kind},
                    {"holder", request.holder},
                    {"code", reason.code},
                    {"reason", reason.message},
                    {"retry_after_ms", reason.retry_after.count()}});
    auto message = make_refusal_message(settings.pool, request.request_id, reason);
    if (settings.reports_load) {
        message.refusal.__set_load(load_at(clock.now()));
    }
    outbox_.emplace_back(request.holder, std::move(message));
}

void granter_core::refuse_all(const std::vector<scheduling::shed_request>& shed)
{
    for (const auto& it : shed) {
        cancel_trial(it.request.fingerprints, clock.now());
        refuse(it.request, it.reason, "shed");
    }
}

} // namespace almondline::granting
