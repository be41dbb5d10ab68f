#include "granting/internal/granter_core.h"

#include "common/hash.h"
#include "granting/internal/messages.h"

#include <algorithm>
#include <utility>

namespace almondline::granting {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds holder_check_interval{1000};
constexpr milliseconds no_backend_retry_after{1000};
constexpr std::size_t credit_prefix_length = 12;

refusal make_no_backend_refusal(const std::string& text)
{
    return {verdict::not_run, std::string{code_no_backend}, text, no_backend_retry_after};
}

} // namespace

granter_core::granter_core(granter_settings own_settings, scheduling::queue_config config,
                           const clock_source& time, peer_sender& sender, decision_log& decisions,
                           failure_domain_lookup lookup, scheduling::allowance_table* allowances,
                           quarantine_table* quarantine)
    : settings{std::move(own_settings)}, queue{scheduling::make_queue(std::move(config))},
      credits{settings.late_confirmation_window}, clock{time}, sender_{sender},
      decisions_{decisions}, lookup_{std::move(lookup)}, allowances_{allowances},
      quarantine_{quarantine}, credit_prefix_{random_id().substr(0, credit_prefix_length)},
      grants_start_at_{time.now() + settings.takeover_delay}
{
    table.config = settings.routing;
}

granter_core::~granter_core()
{
    for (const auto& [id, charge] : charges_) {
        if (!charge.is_spent) {
            scheduling::cancel_reservation(*allowances_, charge.account, charge.tokens);
        }
    }
}

bool granter_core::reserve_allowance(const scheduling::credit_request& request, steady_time now)
{
    if (allowances_ == nullptr || request.allowance_cost <= 0 ||
        charges_.contains(request.request_id)) {
        return true;
    }
    const auto wait =
        scheduling::reserve(*allowances_, request.account, request.allowance_cost, now);
    if (!wait) {
        charges_[request.request_id] = {request.account, request.allowance_cost, false};
        return true;
    }
    refuse(request,
           {verdict::not_run, std::string{code_allowance},
            "the account has used up its allowance of tokens", *wait},
           "refusal");
    return false;
}

void granter_core::spend_allowance(const std::string& request_id, steady_time now)
{
    const auto it = charges_.find(request_id);
    if (it != charges_.end() && !std::exchange(it->second.is_spent, true)) {
        scheduling::spend(*allowances_, it->second.account, it->second.tokens, now);
    }
}

void granter_core::settle_allowance(const std::string& request_id, bool has_run, steady_time now)
{
    const auto it = charges_.find(request_id);
    if (it == charges_.end()) {
        return;
    }
    const auto& charge = it->second;
    if (!charge.is_spent) {
        scheduling::cancel_reservation(*allowances_, charge.account, charge.tokens);
    }
    else if (!has_run) {
        scheduling::refund(*allowances_, charge.account, charge.tokens, now);
    }
    charges_.erase(it);
}

scheduling::slot_view granter_core::slots_at(steady_time now) const
{
    const auto counts = routing::count_slots(table, now);
    const bool may_grant = now >= grants_start_at_;
    scheduling::slot_view slots;
    slots.total = counts.total;
    slots.free = may_grant ? counts.free : 0;
    slots.free_headroom = may_grant ? counts.free_headroom : 0;
    slots.rate_limited_total = counts.rate_limited_total;
    slots.rate_limited_slots = counts.rate_limited_slots;
    slots.rate_limit = counts.rate_limit;
    return slots;
}

void granter_core::grant_waiting(steady_time now)
{
    if (now < grants_start_at_) {
        return;
    }
    check_quarantines(now);
    std::vector<scheduling::credit_request> deferred;
    std::size_t bypassed = 0;
    std::size_t bypassed_by_model = 0;
    bool is_blocked = false;
    while (!is_blocked) {
        auto next = scheduling::pick(queue, slots_at(now), now);
        if (!next) {
            break;
        }
        auto shape = make_shape(*next, lookup_ ? lookup_(next->holder) : std::string{}, now);
        shape.leaves_headroom = !scheduling::may_use_headroom(queue, *next, now);
        const auto chosen = routing::choose(table, shape, now);
        if (chosen) {
            issue(*next, shape, *chosen, now);
            continue;
        }
        if (is_excluded_everywhere(*next)) {
            scheduling::finish(queue, next->request_id, 0, now);
            cancel_trial(next->fingerprints, now);
            refuse(*next, make_no_backend_refusal("every usable backend server is excluded"),
                   "refusal");
            continue;
        }
        if (is_served_by_all(next->model)) {
            is_blocked = is_bypass_over(*next, now) || ++bypassed >= settings.max_bypassed;
        }
        else {
            is_blocked = ++bypassed_by_model >= settings.max_bypassed_by_model;
        }
        deferred.push_back(std::move(*next));
    }
    // In reverse order, so that the first one is at the head of the queue again.
    for (auto it = deferred.rbegin(); it != deferred.rend(); ++it) {
        scheduling::put_back(queue, std::move(*it), now);
    }
}

bool granter_core::is_excluded_everywhere(const scheduling::credit_request& request) const
{
    if (request.excluded.empty()) {
        return false;
    }
    return std::all_of(table.replicas.begin(), table.replicas.end(), [&](const auto& it) {
        return !it.is_present || it.is_leaving || it.spec.is_leaving || routing::is_draining(it) ||
               !routing::has_model(it, request.model) ||
               std::find(request.excluded.begin(), request.excluded.end(), it.spec.id) !=
                   request.excluded.end();
    });
}

bool granter_core::is_bypass_over(const scheduling::credit_request& request, steady_time now)
{
    const auto since = bypassed_since_.try_emplace(request.request_id, now).first->second;
    // A request that excludes servers may wait for one of the others; requests behind it must not
    // be blocked by that.
    return request.excluded.empty() && now - since >= settings.max_bypass_time;
}

void granter_core::issue(const scheduling::credit_request& request,
                         const routing::request_shape& shape, const routing::choice& chosen,
                         steady_time now)
{
    bypassed_since_.erase(request.request_id);
    spend_allowance(request.request_id, now);
    routing::on_dispatch(table, chosen.id, shape, now);
    issued_credit entry;
    entry.granted = {
        request.request_id, settings.pool,  credit_prefix_ + "-" + std::to_string(next_credit_++),
        chosen.id,          chosen.address, now + settings.credit_lifetime,
        chosen.reason};
    entry.granted.is_rate_limited = routing::is_rate_limited(table, chosen.id);
    entry.granted.is_start_awaited =
        quarantine_ != nullptr && is_suspected(*quarantine_, request.fingerprints);
    entry.issued_at = now;
    entry.holder = request.holder;
    entry.running = {request.request_id, request.account, request.kind, request.tier, request.cost};
    entry.shape = shape;
    entry.suspects = request.fingerprints;
    const auto candidates = describe_best(chosen.candidates, settings.max_logged_candidates);
    ++counters.grants;
    decisions_.add(request.request_id, log_level::info, "grant",
                   {{"request", request.request_id},
                    {"pool", settings.pool},
                    {"tier", request.tier},
                    {"account", request.account},
                    {"kind", request.kind},
                    {"holder", request.holder},
                    {"credit", entry.granted.credit_id},
                    {"backend", chosen.id},
                    {"reason", chosen.reason},
                    {"candidates", join(candidates)}});
    send_grant(entry, candidates, now);
    credits.add(std::move(entry));
}

void granter_core::release(const std::string& request_id, const release_report& report,
                           steady_time now)
{
    const auto entry = credits.remove(request_id);
    if (!entry) {
        return;
    }
    const auto& backend = entry->granted.backend_id;
    double cost = report.actual_cost.value_or(entry->running.cost);
    switch (report.outcome) {
    case release_outcome::finished:
        routing::on_finish(
            table, backend, request_id,
            {report.first_token, report.duration, report.prompt_tokens, report.output_tokens}, now);
        break;
    case release_outcome::not_dispatched:
        routing::on_not_dispatched(table, backend, request_id, now);
        cancel_trial(entry->suspects, now);
        cost = 0;
        break;
    case release_outcome::failed:
        routing::on_failure(table, backend, request_id, now);
        break;
    case release_outcome::unreachable:
        routing::on_unreachable(table, backend, request_id, now);
        cancel_trial(entry->suspects, now);
        cost = 0;
        break;
    case release_outcome::cancelled:
        routing::on_cancel(table, backend, request_id, now);
        break;
    }
    if (report.is_server_leaving) {
        routing::mark_leaving(table, backend);
    }
    if (report.outcome == release_outcome::finished) {
        note_answer(*entry, now);
    }
    scheduling::finish(queue, request_id, cost, now);
    const bool has_run = report.outcome != release_outcome::not_dispatched &&
                         report.outcome != release_outcome::unreachable;
    settle_allowance(request_id, has_run, now);
}

void granter_core::add_in_use(issued_credit entry, steady_time now)
{
    const auto& id = entry.granted.request_id;
    release(id, {.outcome = release_outcome::not_dispatched}, now);
    scheduling::restore(queue, entry.running, now);
    routing::on_dispatch(table, entry.granted.backend_id, entry.shape, now);
    entry.is_confirmed = true;
    entry.confirmed_at = now;
    bypassed_since_.erase(id);
    credits.add(std::move(entry));
}

void granter_core::expire_credits(steady_time now)
{
    while (const auto entry = credits.expire_next(now)) {
        ++counters.expired_credits;
        const auto& id = entry->granted.request_id;
        routing::on_not_dispatched(table, entry->granted.backend_id, id, now);
        scheduling::finish(queue, id, 0, now);
        settle_allowance(id, false, now);
        cancel_trial(entry->suspects, now);
        decisions_.add(id, log_level::warning, "credit-expired",
                       {{"request", id},
                        {"pool", settings.pool},
                        {"holder", entry->holder},
                        {"credit", entry->granted.credit_id},
                        {"backend", entry->granted.backend_id}});
    }
    credits.prune_expired(now);
}

void granter_core::expire_credit_requests(steady_time now)
{
    refuse_all(scheduling::expire(queue, now));
    std::erase_if(bypassed_since_,
                  [&](const auto& it) { return !scheduling::is_waiting(queue, it.first); });
}

bool granter_core::lacks_backends(steady_time now) const
{
    return no_backend_since_ && now - *no_backend_since_ >= settings.no_backend_delay;
}

void granter_core::check_backends(steady_time now)
{
    if (slots_at(now).total > 0) {
        no_backend_since_.reset();
        return;
    }
    if (!no_backend_since_) {
        no_backend_since_ = now;
    }
    if (!lacks_backends(now)) {
        return;
    }
    std::vector<scheduling::credit_request> waiting;
    for (const auto& it : queue.waiting) {
        waiting.push_back(it.second.request);
    }
    // The lowest tier is shed first, as everywhere.
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto& a, const auto& b) { return a.tier > b.tier; });
    for (const auto& it : waiting) {
        scheduling::cancel(queue, it.request_id, now);
        cancel_trial(it.fingerprints, now);
        refuse(it, make_no_backend_refusal("the pool has no usable backend server"), "shed");
    }
}

void granter_core::check_holders(steady_time now)
{
    if (now < next_holder_check_) {
        return;
    }
    next_holder_check_ = now + holder_check_interval;
    std::vector<std::string> unresponsive;
    for (const auto& [id, received] : last_received_) {
        if (now - received >= settings.holder_timeout) {
            unresponsive.push_back(id);
        }
    }
    for (const auto& it : unresponsive) {
        counters.unresponsive_holders += credits.requests_of(it).empty() ? 0 : 1;
        remove_holder(it, now);
    }
}

void granter_core::remove_holder(const std::string& instance_id, steady_time now)
{
    last_received_.erase(instance_id);
    for (const auto& id : credits.requests_of(instance_id)) {
        decisions_.add(id, log_level::warning, "holder-lost",
                       {{"request", id}, {"pool", settings.pool}, {"holder", instance_id}});
        const bool is_confirmed = credits.find(id)->is_confirmed;
        release(id,
                {.outcome =
                     is_confirmed ? release_outcome::cancelled : release_outcome::not_dispatched},
                now);
    }
    std::vector<std::string> waiting;
    for (const auto& it : queue.waiting) {
        if (it.second.request.holder == instance_id) {
            waiting.push_back(it.first);
        }
    }
    for (const auto& it : waiting) {
        scheduling::cancel(queue, it, now);
    }
}

} // namespace almondline::granting
