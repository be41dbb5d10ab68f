#include "granting/internal/granter_core.h"
#include "granting/internal/messages.h"

#include "common/log.h"

#include <algorithm>
#include <unordered_set>

namespace almondline::granting {

void granter_core::handle_credit_request(const std::string& from, const wire::ask_message& message,
                                         steady_time now)
{
    const int tier_count = static_cast<int>(queue.tiers.size());
    auto request = read_credit_request_message(message, from, tier_count, now);
    if (auto* entry = credits.find(request.request_id)) {
        if (entry->holder != from) {
            return;
        }
        const auto& excluded = request.excluded;
        if (std::find(excluded.begin(), excluded.end(), entry->granted.backend_id) ==
            excluded.end()) {
            // The grant was lost or is still in transit. Sending the same credit again is harmless.
            credits.extend(*entry, now + settings.credit_lifetime);
            ++counters.repeated_grants;
            send_grant(*entry, {}, now);
            return;
        }
        // A retry; the release of the credit for the previous attempt was lost.
        release(request.request_id, {.outcome = release_outcome::not_dispatched}, now);
    }
    if (lacks_backends(now)) {
        refuse(request,
               {verdict::not_run, std::string{code_no_backend},
                "the pool has no usable backend server", settings.no_backend_delay},
               "refusal");
        return;
    }
    if (!check_quarantine(request, now)) {
        return;
    }
    if (!reserve_allowance(request, now)) {
        cancel_trial(request.fingerprints, now);
        return;
    }
    auto result = scheduling::enqueue(queue, request, slots_at(now), now);
    refuse_all(result.shed);
    if (result.status == scheduling::enqueue_status::refused) {
        cancel_trial(request.fingerprints, now);
        refuse(request, result.reason, "refusal");
    }
}

void granter_core::handle_confirmation(const std::string& from,
                                       const wire::confirm_message& message, steady_time now)
{
    auto* entry = credits.find(message.request_id);
    if (entry != nullptr && entry->granted.credit_id == message.credit_id) {
        if (entry->holder == from) {
            credits.confirm(*entry, now);
        }
        return;
    }
    if (entry != nullptr && entry->is_confirmed) {
        return;
    }
    auto late = credits.remove_expired(message.request_id, message.credit_id);
    if (!late || late->holder != from) {
        return;
    }
    // The request was dispatched, so its credit counts again. A newer credit, which its holder does
    // not use, is revoked.
    ++counters.late_confirmations;
    add_in_use(std::move(*late), now);
}

void granter_core::handle_release(const std::string& from, const wire::release_message& message,
                                  steady_time now)
{
    credits.remove_expired(message.request_id, message.credit_id);
    const auto* entry = credits.find(message.request_id);
    if (entry == nullptr || entry->holder != from ||
        entry->granted.credit_id != message.credit_id) {
        return;
    }
    release(message.request_id, read_release_message(message), now);
}

void granter_core::handle_cancel(const std::string& from, const wire::cancel_message& message,
                                 steady_time now)
{
    const auto waiting = queue.waiting.find(message.request_id);
    if (waiting != queue.waiting.end() && waiting->second.request.holder == from) {
        cancel_trial(waiting->second.request.fingerprints, now);
        scheduling::cancel(queue, message.request_id, now);
        settle_allowance(message.request_id, false, now);
        return;
    }
    // The grant had not reached the holder when it cancelled. A confirmed credit is released by its
    // holder instead.
    const auto* entry = credits.find(message.request_id);
    if (entry != nullptr && entry->holder == from && !entry->is_confirmed) {
        release(message.request_id, {.outcome = release_outcome::not_dispatched}, now);
    }
}

void granter_core::handle_holdings(const std::string& from, const wire::holdings_message& message,
                                   steady_time now)
{
    std::unordered_set<std::string> reported;
    for (const auto& it : message.holdings) {
        reported.insert(it.request_id);
        restore(from, it, now);
    }
    restore_rates(from, message.rates, now);
    if (message.holdings.size() >= max_reported_holdings) {
        return;
    }
    for (const auto& id : credits.requests_of(from)) {
        const auto& entry = *credits.find(id);
        // The report may have been made before a credit confirmed recently.
        if (reported.contains(id) || !entry.is_confirmed ||
            now - entry.confirmed_at < settings.credit_lifetime) {
            continue;
        }
        ++counters.lost_releases;
        release(id, {.outcome = release_outcome::cancelled}, now);
    }
}

void granter_core::handle_server_report(const std::string& from,
                                        const wire::server_report_message& message, steady_time now)
{
    const auto report = read_server_report_message(message);
    if (report.is_leaving) {
        routing::mark_leaving(table, message.backend_id);
    }
    const auto* entry = credits.find(message.request_id);
    const bool is_known =
        entry != nullptr && entry->holder == from && entry->granted.credit_id == message.credit_id;
    const auto issued = is_known ? entry->issued_at : steady_time{};
    if (routing::on_advertised_rate(table, message.backend_id, report.max_request_rate, issued,
                                    now)) {
        log_rate(message.backend_id, from);
    }
}

void granter_core::restore_rates(const std::string& from,
                                 const std::vector<wire::advertised_rate>& rates, steady_time now)
{
    for (const auto& it : rates) {
        const auto rate = read_advertised_rate(it, now);
        if (rate && routing::restore_rate(table, it.backend_id, *rate, now)) {
            log_rate(it.backend_id, from);
        }
    }
}

void granter_core::log_rate(const std::string& backend_id, const std::string& reported_by) const
{
    const auto it = table.index.find(backend_id);
    if (it == table.index.end()) {
        return;
    }
    const auto& rate = table.replicas[it->second].limiter.rate;
    log_event("granting", log_level::info, "rate-limit",
              {{"backend", backend_id},
               {"pool", settings.pool},
               {"state", rate ? "on" : "off"},
               {"requests_per_s", rate ? rate->per_second : 0.0},
               {"reported_by", reported_by}});
}

void granter_core::restore(const std::string& from, const wire::holding& holding, steady_time now)
{
    const auto* known = credits.find(holding.request_id);
    if (known != nullptr &&
        (known->holder != from || known->granted.credit_id == holding.credit_id)) {
        return;
    }
    issued_credit entry;
    entry.granted.request_id = holding.request_id;
    entry.granted.pool = settings.pool;
    entry.granted.credit_id = holding.credit_id;
    entry.granted.backend_id = holding.backend_id;
    entry.holder = from;
    const int last_tier = std::max(0, static_cast<int>(queue.tiers.size()) - 1);
    entry.running = {holding.request_id, holding.account, holding.kind,
                     std::clamp(holding.tier, 0, last_tier), holding.cost};
    entry.shape.request_id = holding.request_id;
    entry.shape.model = holding.model;
    ++counters.restored_holdings;
    add_in_use(std::move(entry), now);
}

} // namespace almondline::granting
