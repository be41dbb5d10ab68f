#include "granting/internal/credit_client_state.h"

#include "common/log.h"
#include "granting/internal/quarantine_messages.h"
#include "routing/request_rate.h"

#include <algorithm>

namespace almondline::granting {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds deadline_retry_after{1000};

bool counts_as_held(const held_credit& it, steady_time now)
{
    return it.is_confirmed || now < it.granted.expires;
}

wire::holding make_holding(const held_credit& it)
{
    wire::holding holding;
    holding.request_id = it.granted.request_id;
    holding.credit_id = it.granted.credit_id;
    holding.backend_id = it.granted.backend_id;
    holding.cost = it.request.cost;
    holding.tier = it.request.tier;
    holding.account = it.request.account;
    holding.kind = it.request.kind;
    if (!it.request.model.empty()) {
        holding.__set_model(it.request.model);
    }
    return holding;
}

} // namespace

void credit_client::state::send_to_owner(pending_request& entry, const pool_owner_id& owner,
                                         steady_time now)
{
    const auto& id = entry.request.request_id;
    by_resend.erase({entry.resend_at, id});
    entry.resend_at = now + entry.resend_after;
    entry.resend_after = std::min(entry.resend_after * 2, settings.max_resend_after);
    by_resend.emplace(entry.resend_at, id);
    counters.credit_requests += entry.was_sent ? 0 : 1;
    counters.resent_credit_requests += entry.was_sent ? 1 : 0;
    const auto message =
        make_credit_request_message(entry.pool, entry.request, entry.was_sent, now);
    entry.was_sent = true;
    const auto to = owner.instance_id;
    // Must come last: a local granter may answer within the call, which destroys the entry.
    sender.send(to, message);
}

void credit_client::state::resend_due(steady_time now)
{
    std::vector<std::string> due;
    for (auto it = by_resend.begin(); it != by_resend.end() && it->first <= now; ++it) {
        due.push_back(it->second);
    }
    for (const auto& id : due) {
        const auto it = pending.find(id);
        if (it != pending.end() && it->second.resend_at <= now) {
            send_to_owner(it->second, pools[it->second.pool].owner, now);
        }
    }
}

void credit_client::state::expire_pending(steady_time now)
{
    while (!by_deadline.empty() && by_deadline.begin()->first <= now) {
        const auto id = by_deadline.begin()->second;
        auto entry = remove_pending(id);
        const auto message = make_cancel_message(entry->pool, id);
        const auto owner = pools[entry->pool].owner.instance_id;
        remove_pool_if_unused(entry->pool);
        ++counters.timed_out;
        sender.send(owner, message);
        refuse(std::move(*entry),
               {verdict::not_run, std::string{code_deadline_passed},
                "no backend server was granted before the deadline", deadline_retry_after});
    }
}

void credit_client::state::send_confirmation(const held_credit& credit)
{
    sender.send(credit.granter, make_confirm_message(credit.granted));
}

void credit_client::state::send_due_confirmations(steady_time now)
{
    while (!by_confirmation.empty() && by_confirmation.begin()->first <= now) {
        const auto it = held.find(by_confirmation.begin()->second);
        by_confirmation.erase(by_confirmation.begin());
        if (it != held.end()) {
            send_confirmation(it->second);
        }
    }
}

std::optional<pending_request> credit_client::state::remove_pending(const std::string& request_id)
{
    const auto it = pending.find(request_id);
    if (it == pending.end()) {
        return std::nullopt;
    }
    auto entry = std::move(it->second);
    pending.erase(it);
    by_resend.erase({entry.resend_at, request_id});
    by_deadline.erase({entry.request.deadline, request_id});
    pools[entry.pool].pending.erase(request_id);
    return entry;
}

void credit_client::state::refuse(pending_request entry, const refusal& reason)
{
    decisions.add(entry.request.request_id, log_level::info, "refused",
                  {{"request", entry.request.request_id},
                   {"pool", entry.pool},
                   {"tier", entry.request.tier},
                   {"code", reason.code},
                   {"reason", reason.message},
                   {"retry_after_ms", reason.retry_after.count()}});
    const credit_result result{std::nullopt, reason};
    entry.handler(result);
}

void credit_client::state::handle_grant(const std::string& from, const wire::grant_message& grant,
                                        steady_time now)
{
    const credit granted{grant.request_id,
                         grant.pool,
                         grant.credit_id,
                         grant.backend_id,
                         grant.backend_address,
                         now + milliseconds{std::clamp<std::int64_t>(grant.lifetime_ms, 0, 60'000)},
                         grant.reason,
                         grant.rate_limited,
                         grant.start_awaited};
    const auto known = held.find(granted.request_id);
    if (known != held.end() && known->second.granted.credit_id == granted.credit_id) {
        return;
    }
    const auto waiting = pending.find(granted.request_id);
    if (waiting == pending.end() || waiting->second.pool != granted.pool) {
        release_surplus(from, granted);
        return;
    }
    auto entry = *remove_pending(granted.request_id);
    auto& view = pools[granted.pool];
    view.held.insert(granted.request_id);
    held.emplace(granted.request_id, held_credit{granted, from, entry.request, false});
    // The granter logs the grant; this line is for operators who query the holder.
    decisions.add(granted.request_id, log_level::debug, "granted",
                  {{"request", granted.request_id},
                   {"pool", granted.pool},
                   {"granter", from},
                   {"credit", granted.credit_id},
                   {"backend", granted.backend_id},
                   {"reason", granted.reason},
                   {"candidates", join(grant.candidates)}});
    if (from != view.owner.instance_id) {
        // Granted by a former owner, while the current one still has the request in its queue.
        sender.send(view.owner.instance_id, make_cancel_message(granted.pool, granted.request_id));
        report_holdings(granted.pool, view, now);
    }
    const credit_result result{granted, {}};
    entry.handler(result);
}

void credit_client::state::release_surplus(const std::string& from, const credit& granted)
{
    ++counters.surplus_grants;
    decisions.add(granted.request_id, log_level::info, "surplus-grant",
                  {{"request", granted.request_id},
                   {"pool", granted.pool},
                   {"granter", from},
                   {"credit", granted.credit_id},
                   {"backend", granted.backend_id}});
    sender.send(from, make_release_message(granted, {.outcome = release_outcome::not_dispatched}));
}

void credit_client::state::handle_refusal(const std::string& from,
                                          const wire::refusal_message& message)
{
    const auto it = pending.find(message.request_id);
    // Only the current owner's refusal counts: a former owner may shed a request that its successor
    // has in its queue.
    if (it == pending.end() || pools[it->second.pool].owner.instance_id != from) {
        return;
    }
    auto entry = *remove_pending(message.request_id);
    remove_pool_if_unused(entry.pool);
    refuse(std::move(entry), read_refusal_message(message));
}

void credit_client::state::send_to_granters(const held_credit& credit,
                                            const wire::envelope& message)
{
    const auto pool = pools.find(credit.granted.pool);
    const auto owner = pool == pools.end() ? credit.granter : pool->second.owner.instance_id;
    const auto granter = credit.granter;
    if (owner != granter && !owner.empty()) {
        sender.send(owner, message);
    }
    sender.send(granter, message);
}

void credit_client::state::report_holdings(const std::string& pool, pool_view& view,
                                           steady_time now)
{
    view.report_at = now + settings.holdings_interval;
    std::vector<wire::holding> holdings;
    for (const auto& id : view.held) {
        const auto& it = held.at(id);
        if (counts_as_held(it, now)) {
            holdings.push_back(make_holding(it));
        }
    }
    view.is_report_due = false;
    const auto owner = view.owner.instance_id;
    auto advertised_rates = rates_of(pool, now);
    std::size_t start = 0;
    do {
        const auto end = std::min(holdings.size(), start + max_reported_holdings);
        wire::holdings_message report;
        report.pool = pool;
        report.holdings.assign(holdings.begin() + static_cast<std::ptrdiff_t>(start),
                               holdings.begin() + static_cast<std::ptrdiff_t>(end));
        // Each message of a split report must have the maximum length, which marks it as
        // incomplete. A shorter last one is padded with entries that were already sent.
        if (start > 0 && report.holdings.size() < max_reported_holdings) {
            report.holdings.assign(holdings.end() - max_reported_holdings, holdings.end());
        }
        if (!advertised_rates.empty()) {
            report.__set_rates(std::exchange(advertised_rates, {}));
        }
        wire::envelope message;
        message.__set_holdings(report);
        sender.send(owner, message);
        start = end;
    } while (start < holdings.size());
}

void credit_client::state::report_due_holdings(steady_time now)
{
    std::vector<std::string> due;
    for (const auto& [pool, view] : pools) {
        // Pools without holdings are reported too: credits whose release was lost may occupy the
        // slots that the pending requests wait for.
        if (view.report_at <= now) {
            due.push_back(pool);
        }
    }
    for (const auto& it : due) {
        // A local granter may answer a report within the call, which may change the map.
        const auto found = pools.find(it);
        if (found != pools.end()) {
            report_holdings(it, found->second, now);
            remove_pool_if_unused(it);
        }
    }
}

void credit_client::state::check_owners(steady_time now)
{
    std::vector<std::pair<std::string, pool_owner_id>> changed;
    for (const auto& [pool, view] : pools) {
        auto owner = lookup(pool);
        if (owner != view.owner && !owner.instance_id.empty()) {
            changed.emplace_back(pool, std::move(owner));
        }
    }
    for (const auto& [pool, owner] : changed) {
        const auto found = pools.find(pool);
        if (found == pools.end()) {
            continue;
        }
        auto& view = found->second;
        view.owner = owner;
        ++counters.owner_changes;
        // Holdings are sent first, so that the new owner knows which slots are in use when it
        // receives the credit requests.
        const std::vector<std::string> credit_requests{view.pending.begin(), view.pending.end()};
        report_holdings(pool, view, now);
        for (const auto& id : credit_requests) {
            const auto it = pending.find(id);
            if (it != pending.end()) {
                it->second.resend_after = settings.resend_after;
                send_to_owner(it->second, owner, now);
            }
        }
    }
}

void credit_client::state::note_crash(const held_credit& credit, const fingerprints& suspects,
                                      steady_time now)
{
    const auto& granted = credit.granted;
    add_record(crashes, {granted.pool, granted.backend_id, suspects, now, lookup(granted.pool)});
}

void credit_client::state::report_crashes(steady_time now)
{
    if (crashes.all.empty()) {
        return;
    }
    for (const auto& it : due_reports(crashes, lookup, now)) {
        sender.send(it.owner_id, make_crash_history(it.pool, it.crashes));
    }
}

void credit_client::state::note_rate(const held_credit& credit, std::optional<double> per_second,
                                     steady_time now)
{
    const auto& backend = credit.granted.backend_id;
    const auto known = rates.find(backend);
    std::optional<routing::advertised_rate> rate;
    if (known != rates.end()) {
        rate = known->second.rate;
    }
    counters.advertised_rates += per_second ? 1 : 0;
    const bool is_changed = routing::update_rate(rate, per_second, credit.confirmed_at, now);
    if (rate) {
        rates[backend] = {credit.granted.pool, *rate};
    }
    else {
        rates.erase(backend);
    }
    if (is_changed) {
        log_event("granting", log_level::info, "server-rate",
                  {{"backend", backend},
                   {"pool", credit.granted.pool},
                   {"state", rate ? "advertised" : "ended"},
                   {"requests_per_s", per_second.value_or(0)},
                   {"granter", credit.granter}});
    }
}

std::vector<wire::advertised_rate> credit_client::state::rates_of(const std::string& pool,
                                                                  steady_time now) const
{
    std::vector<wire::advertised_rate> out;
    for (const auto& [backend, it] : rates) {
        if (it.pool == pool) {
            out.push_back(make_advertised_rate(backend, it.rate, now));
        }
    }
    return out;
}

void credit_client::state::remove_old_rates(steady_time now)
{
    std::erase_if(rates, [&](const auto& it) {
        return now - it.second.rate.advertised_at > settings.remember_rates;
    });
}

void credit_client::state::remove_pool_if_unused(const std::string& pool)
{
    const auto it = pools.find(pool);
    if (it != pools.end() && it->second.pending.empty() && it->second.held.empty() &&
        !it->second.is_report_due) {
        pools.erase(it);
    }
}

} // namespace almondline::granting
