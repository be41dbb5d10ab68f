#include "granting/internal/granter_core.h"
#include "granting/internal/messages.h"

#include <algorithm>
#include <unordered_set>

namespace almondline::granting {

void granter_core::handle_credit_request(const std::string& from, const wire::ask_message& message,
                                         steady_time now)
{
    const int tier_count = static_cast<int>(queue.tiers.size());
    auto what = read_credit_request_message(message, from, tier_count, now);
    if (auto* entry = credits.find(what.request_id)) {
        if (entry->holder != from) {
            return;
        }
        const auto& excluded = what.excluded;
        if (std::find(excluded.begin(), excluded.end(), entry->what.backend_id) == excluded.end()) {
            // The grant was lost or is still on its way. The same credit again is harmless.
            credits.extend(*entry, now + settings.credit_lifetime);
            ++counters.repeated_grants;
            send_grant(*entry, {}, now);
            return;
        }
        // A second attempt, whose release of the first credit was lost.
        release(what.request_id, {.outcome = release_outcome::not_dispatched}, now);
    }
    if (lacks_backends(now)) {
        refuse(what,
               {verdict::not_run, std::string{code_no_backend},
                "the pool has no usable backend server", settings.no_backend_delay},
               "refusal");
        return;
    }
    if (!reserve_allowance(what, now)) {
        return;
    }
    auto result = scheduling::enqueue(queue, what, slots_at(now), now);
    refuse_all(result.shed);
    if (result.status == scheduling::enqueue_status::refused) {
        refuse(what, result.why, "refusal");
    }
}

void granter_core::handle_confirmation(const std::string& from,
                                       const wire::confirm_message& message, steady_time now)
{
    auto* entry = credits.find(message.request_id);
    if (entry != nullptr && entry->what.credit_id == message.credit_id) {
        if (entry->holder == from) {
            credits.confirm(*entry, now);
        }
        return;
    }
    if (entry != nullptr && entry->is_confirmed) {
        return;
    }
    auto late = credits.take_late(message.request_id, message.credit_id);
    if (!late || late->holder != from) {
        return;
    }
    // The request was dispatched: it counts again, and a newer credit that its holder does not use
    // is taken back.
    ++counters.late_confirmations;
    adopt(std::move(*late), now);
}

void granter_core::handle_release(const std::string& from, const wire::release_message& message,
                                  steady_time now)
{
    credits.take_late(message.request_id, message.credit_id);
    const auto* entry = credits.find(message.request_id);
    if (entry == nullptr || entry->holder != from || entry->what.credit_id != message.credit_id) {
        return;
    }
    release(message.request_id, read_release_message(message), now);
}

void granter_core::handle_cancel(const std::string& from, const wire::cancel_message& message,
                                 steady_time now)
{
    const auto waiting = queue.waiting.find(message.request_id);
    if (waiting != queue.waiting.end() && waiting->second.what.holder == from) {
        scheduling::cancel(queue, message.request_id, now);
        settle_allowance(message.request_id, false, now);
        return;
    }
    // The holder did not have this grant when it cancelled. A confirmed one is released by it.
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
    if (message.holdings.size() >= max_reported_holdings) {
        return;
    }
    for (const auto& id : credits.requests_of(from)) {
        const auto& entry = *credits.find(id);
        // A credit confirmed later than the report was made may be missing in it.
        if (reported.contains(id) || !entry.is_confirmed ||
            now - entry.confirmed < settings.credit_lifetime) {
            continue;
        }
        ++counters.lost_releases;
        release(id, {.outcome = release_outcome::cancelled}, now);
    }
}

void granter_core::restore(const std::string& from, const wire::holding& held, steady_time now)
{
    const auto* known = credits.find(held.request_id);
    if (known != nullptr && (known->holder != from || known->what.credit_id == held.credit_id)) {
        return;
    }
    issued_credit entry;
    entry.what.request_id = held.request_id;
    entry.what.pool = settings.pool;
    entry.what.credit_id = held.credit_id;
    entry.what.backend_id = held.backend_id;
    entry.holder = from;
    const int last_tier = std::max(0, static_cast<int>(queue.tiers.size()) - 1);
    entry.running = {held.request_id, held.account, held.kind, std::clamp(held.tier, 0, last_tier),
                     held.cost};
    entry.shape.request_id = held.request_id;
    entry.shape.model = held.model;
    ++counters.restored_holdings;
    adopt(std::move(entry), now);
}

} // namespace almondline::granting
