#include "granting/internal/credit_client_state.h"

#include <algorithm>

namespace almondline::granting {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds give_up_retry_after{1000};

bool counts_as_held(const held_credit& it, steady_time now)
{
    return it.is_confirmed || now < it.what.expires;
}

wire::holding make_holding(const held_credit& it)
{
    wire::holding holding;
    holding.request_id = it.what.request_id;
    holding.credit_id = it.what.credit_id;
    holding.backend_id = it.what.backend_id;
    holding.cost = it.asked.cost;
    holding.tier = it.asked.tier;
    holding.account = it.asked.account;
    holding.kind = it.asked.kind;
    if (!it.asked.model.empty()) {
        holding.__set_model(it.asked.model);
    }
    return holding;
}

} // namespace

void credit_client::state::send_to_owner(pending_request& entry, const pool_owner_id& owner,
                                         steady_time now)
{
    const auto& id = entry.what.request_id;
    by_resend.erase({entry.resend_at, id});
    entry.resend_at = now + entry.resend_after;
    entry.resend_after = std::min(entry.resend_after * 2, settings.max_resend_after);
    by_resend.emplace(entry.resend_at, id);
    counters.credit_requests += entry.was_sent ? 0 : 1;
    counters.resent_credit_requests += entry.was_sent ? 1 : 0;
    const auto message = make_credit_request_message(entry.pool, entry.what, entry.was_sent, now);
    entry.was_sent = true;
    const auto to = owner.instance_id;
    // Last: a local granter may answer within the call, which destroys the entry.
    sender.send(to, message);
}

void credit_client::state::resend_late(steady_time now)
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

void credit_client::state::expire_overdue(steady_time now)
{
    while (!by_deadline.empty() && by_deadline.begin()->first <= now) {
        const auto id = by_deadline.begin()->second;
        auto entry = take_pending(id);
        const auto message = make_cancel_message(entry->pool, id);
        const auto owner = pools[entry->pool].owner.instance_id;
        forget_pool_if_unused(entry->pool);
        ++counters.timed_out;
        sender.send(owner, message);
        answer(std::move(*entry),
               {verdict::not_run, std::string{code_deadline_passed},
                "no backend server was granted before the deadline", give_up_retry_after});
    }
}

void credit_client::state::send_confirmation(const held_credit& credit)
{
    sender.send(credit.granter, make_confirm_message(credit.what));
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

std::optional<pending_request> credit_client::state::take_pending(const std::string& request_id)
{
    const auto it = pending.find(request_id);
    if (it == pending.end()) {
        return std::nullopt;
    }
    auto entry = std::move(it->second);
    pending.erase(it);
    by_resend.erase({entry.resend_at, request_id});
    by_deadline.erase({entry.what.deadline, request_id});
    pools[entry.pool].pending.erase(request_id);
    return entry;
}

void credit_client::state::answer(pending_request entry, const refusal& why)
{
    decisions.add(entry.what.request_id, log_level::info, "refused",
                  {{"request", entry.what.request_id},
                   {"pool", entry.pool},
                   {"tier", entry.what.tier},
                   {"code", why.code},
                   {"reason", why.message},
                   {"retry_after_ms", why.retry_after.count()}});
    const credit_result result{std::nullopt, why};
    entry.handler(result);
}

void credit_client::state::handle_grant(const std::string& from, const wire::grant_message& grant,
                                        steady_time now)
{
    const credit what{grant.request_id,
                      grant.pool,
                      grant.credit_id,
                      grant.backend_id,
                      grant.backend_address,
                      now + milliseconds{std::clamp<std::int64_t>(grant.lifetime_ms, 0, 60'000)},
                      grant.reason};
    const auto known = held.find(what.request_id);
    if (known != held.end() && known->second.what.credit_id == what.credit_id) {
        return;
    }
    const auto waiting = pending.find(what.request_id);
    if (waiting == pending.end() || waiting->second.pool != what.pool) {
        release_surplus(from, what);
        return;
    }
    auto entry = *take_pending(what.request_id);
    auto& view = pools[what.pool];
    view.held.insert(what.request_id);
    held.emplace(what.request_id, held_credit{what, from, entry.what, false});
    // The granter writes the log line; here it is kept for operators who ask the holder.
    decisions.add(what.request_id, log_level::debug, "granted",
                  {{"request", what.request_id},
                   {"pool", what.pool},
                   {"granter", from},
                   {"credit", what.credit_id},
                   {"backend", what.backend_id},
                   {"reason", what.reason},
                   {"candidates", join(grant.candidates)}});
    if (from != view.owner.instance_id) {
        // Granted by a former owner, while the present one still has the ask in its queue.
        sender.send(view.owner.instance_id, make_cancel_message(what.pool, what.request_id));
        report_holdings(what.pool, view, now);
    }
    const credit_result result{what, {}};
    entry.handler(result);
}

void credit_client::state::release_surplus(const std::string& from, const credit& what)
{
    ++counters.surplus_grants;
    decisions.add(what.request_id, log_level::info, "surplus-grant",
                  {{"request", what.request_id},
                   {"pool", what.pool},
                   {"granter", from},
                   {"credit", what.credit_id},
                   {"backend", what.backend_id}});
    sender.send(from, make_release_message(what, {.outcome = release_outcome::not_dispatched}));
}

void credit_client::state::handle_refusal(const std::string& from,
                                          const wire::refusal_message& message)
{
    const auto it = pending.find(message.request_id);
    // The present owner decides: a former one may shed what its successor has in its queue.
    if (it == pending.end() || pools[it->second.pool].owner.instance_id != from) {
        return;
    }
    auto entry = *take_pending(message.request_id);
    forget_pool_if_unused(entry.pool);
    answer(std::move(entry), read_refusal_message(message));
}

void credit_client::state::send_to_granters(const held_credit& credit,
                                            const wire::envelope& message)
{
    const auto pool = pools.find(credit.what.pool);
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
    std::size_t start = 0;
    do {
        const auto end = std::min(holdings.size(), start + max_reported_holdings);
        wire::holdings_message report;
        report.pool = pool;
        report.holdings.assign(holdings.begin() + static_cast<std::ptrdiff_t>(start),
                               holdings.begin() + static_cast<std::ptrdiff_t>(end));
        // Several messages are all marked as incomplete by their length. The last one may be
        // shorter, so it is padded with entries that the granter knows already.
        if (start > 0 && report.holdings.size() < max_reported_holdings) {
            report.holdings.assign(holdings.end() - max_reported_holdings, holdings.end());
        }
        wire::envelope message;
        message.__set_holdings(report);
        sender.send(owner, message);
        start = end;
    } while (start < holdings.size());
}

void credit_client::state::report_all(steady_time now)
{
    std::vector<std::string> due;
    for (const auto& [pool, view] : pools) {
        // Also without holdings: credits whose release was lost may take the slots that the pending
        // asks wait for.
        if (view.report_at <= now) {
            due.push_back(pool);
        }
    }
    for (const auto& it : due) {
        // A local granter may answer a report, and so change the map.
        const auto found = pools.find(it);
        if (found != pools.end()) {
            report_holdings(it, found->second, now);
            forget_pool_if_unused(it);
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
        // Holdings first, so that the new owner knows which slots are taken when it sees the asks.
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

void credit_client::state::forget_pool_if_unused(const std::string& pool)
{
    const auto it = pools.find(pool);
    if (it != pools.end() && it->second.pending.empty() && it->second.held.empty() &&
        !it->second.is_report_due) {
        pools.erase(it);
    }
}

} // namespace almondline::granting
