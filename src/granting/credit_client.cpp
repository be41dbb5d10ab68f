#include "granting/credit_client.h"

#include "granting/internal/credit_client_state.h"

#include <utility>
#include <vector>

namespace almondline::granting {

namespace {

constexpr std::chrono::milliseconds no_granter_retry_after{1000};

refusal make_no_granter_refusal()
{
    return {verdict::not_run, std::string{code_no_granter}, "no entry instance owns the pool",
            no_granter_retry_after};
}

} // namespace

credit_client::credit_client(credit_client_settings settings, const clock_source& clock,
                             peer_sender& sender, owner_lookup lookup, decision_log& decisions)
    : state_{
          std::make_unique<state>(std::move(settings), clock, sender, std::move(lookup), decisions)}
{
}

credit_client::~credit_client() = default;

bool credit_client::request_credit(const std::string& pool, scheduling::credit_request request,
                                   credit_handler handler)
{
    const auto now = state_->clock.now();
    const auto id = request.request_id;
    if (state_->pending.contains(id) || state_->held.contains(id)) {
        return false;
    }
    request.holder = state_->settings.instance_id;
    pending_request entry{
        pool, std::move(request), std::move(handler), now, state_->settings.resend_after, false};
    const auto known = state_->pools.find(pool);
    const auto owner = known != state_->pools.end() ? known->second.owner : state_->lookup(pool);
    if (owner.instance_id.empty()) {
        state_->refuse(std::move(entry), make_no_granter_refusal());
        return true;
    }
    const bool is_new_view = known == state_->pools.end();
    if (is_new_view) {
        state_->pools[pool] = {owner, {}, {}, now + state_->settings.holdings_interval, false};
    }
    auto& view = state_->pools[pool];
    view.pending.insert(id);
    if (is_new_view && !state_->rates_of(pool, now).empty()) {
        // The owner may have changed since the rates were advertised.
        state_->report_holdings(pool, view, now);
    }
    state_->by_deadline.emplace(entry.request.deadline, id);
    auto& stored = state_->pending.emplace(id, std::move(entry)).first->second;
    state_->send_to_owner(stored, owner, now);
    return true;
}

bool credit_client::confirm(const std::string& request_id)
{
    const auto it = state_->held.find(request_id);
    if (it == state_->held.end()) {
        return false;
    }
    if (it->second.is_confirmed) {
        return true;
    }
    const auto now = state_->clock.now();
    if (now >= it->second.granted.expires) {
        return false;
    }
    it->second.is_confirmed = true;
    it->second.confirmed_at = now;
    const auto credit = it->second;
    const auto due = credit.granted.expires - state_->settings.confirm_before_expiry;
    if (state_->settings.confirm_before_expiry.count() > 0 && now < due) {
        state_->by_confirmation.emplace(due, request_id);
    }
    else {
        state_->send_confirmation(credit);
    }
    auto& view = state_->pools[credit.granted.pool];
    if (view.owner.instance_id != credit.granter) {
        state_->report_holdings(credit.granted.pool, view, now);
    }
    return true;
}

void credit_client::release(const std::string& request_id, const release_report& report)
{
    const auto it = state_->held.find(request_id);
    if (it == state_->held.end()) {
        return;
    }
    const auto credit = std::move(it->second);
    state_->by_confirmation.erase(
        {credit.granted.expires - state_->settings.confirm_before_expiry, request_id});
    state_->held.erase(it);
    auto& view = state_->pools[credit.granted.pool];
    view.held.erase(request_id);
    // Even if the release is lost, the next report shows the owner that the credit is not in use.
    view.is_report_due = true;
    if (!report.crash_suspects.empty()) {
        state_->note_crash(credit, report.crash_suspects, state_->clock.now());
    }
    else if (report.outcome == release_outcome::finished) {
        remove_answered(state_->crashes, credit.request.fingerprints);
    }
    state_->send_to_granters(credit, make_release_message(credit.granted, report));
}

void credit_client::note_server(const std::string& request_id, const server_report& report)
{
    const auto it = state_->held.find(request_id);
    if (it == state_->held.end()) {
        return;
    }
    const auto credit = it->second;
    state_->note_rate(credit, report.max_request_rate, state_->clock.now());
    // The granter also has to learn that a server no longer advertises the rate that it knows.
    if (report.is_leaving || report.max_request_rate || credit.granted.is_rate_limited) {
        state_->send_to_granters(credit, make_server_report_message(credit.granted, report));
    }
}

void credit_client::report_start(const std::string& request_id)
{
    const auto it = state_->held.find(request_id);
    if (it == state_->held.end()) {
        return;
    }
    const auto credit = it->second;
    remove_answered(state_->crashes, credit.request.fingerprints);
    state_->send_to_granters(credit, make_start_message(credit.granted));
}

bool credit_client::cancel(const std::string& request_id)
{
    const auto entry = state_->remove_pending(request_id);
    if (!entry) {
        return false;
    }
    const auto owner = state_->pools[entry->pool].owner.instance_id;
    state_->remove_pool_if_unused(entry->pool);
    state_->sender.send(owner, make_cancel_message(entry->pool, request_id));
    return true;
}

void credit_client::refuse_removed_pools(const std::function<bool(const std::string& pool)>& exists)
{
    std::vector<std::string> removed;
    for (const auto& [pool, view] : state_->pools) {
        if (!view.pending.empty() && !exists(pool)) {
            removed.insert(removed.end(), view.pending.begin(), view.pending.end());
        }
    }
    for (const auto& id : removed) {
        refuse_waiting(id);
    }
}

void credit_client::refuse_waiting(const std::string& request_id)
{
    auto entry = state_->remove_pending(request_id);
    if (!entry) {
        return;
    }
    const auto owner = state_->pools[entry->pool].owner.instance_id;
    state_->remove_pool_if_unused(entry->pool);
    state_->sender.send(owner, make_cancel_message(entry->pool, request_id));
    state_->refuse(std::move(*entry), make_no_granter_refusal());
}

void credit_client::handle(const std::string& from, const wire::envelope& message)
{
    if (message.__isset.grant) {
        state_->handle_grant(from, message.grant, state_->clock.now());
    }
    else if (message.__isset.refusal) {
        state_->handle_refusal(from, message.refusal);
    }
}

void credit_client::tick(steady_time now)
{
    state_->check_owners(now);
    state_->expire_pending(now);
    state_->resend_due(now);
    state_->send_due_confirmations(now);
    state_->remove_old_rates(now);
    state_->report_due_holdings(now);
    state_->report_crashes(now);
}

void credit_client::check_owners()
{
    state_->check_owners(state_->clock.now());
}

std::size_t credit_client::waiting_count() const
{
    return state_->pending.size();
}

std::size_t credit_client::held_count() const
{
    return state_->held.size();
}

std::size_t credit_client::advertised_rate_count() const
{
    return state_->rates.size();
}

const credit_client_counters& credit_client::counters() const
{
    return state_->counters;
}

} // namespace almondline::granting
