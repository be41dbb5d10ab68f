#include "scheduling/queue.h"

#include "scheduling/internal/forecast.h"
#include "scheduling/internal/order.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace almondline::scheduling {

namespace {

// An account at its limit may have this many times its limit waiting, so that a limited account
// cannot fill the queue with asks that no free slot can serve.
constexpr std::size_t waiting_per_limit = 2;
// Per tier and call of expire(). Bounds the time that one call takes.
constexpr int predictions_per_tier = 16;
// A waiting ask was admitted on a forecast. It is given up only if the forecast is clearly worse.
constexpr double forecast_margin = 1.5;
constexpr double forecast_slack_seconds = 0.2;

double seconds_until(steady_time now, steady_time when)
{
    if (when == steady_time::max()) {
        return std::numeric_limits<double>::infinity();
    }
    return std::chrono::duration<double>(when - now).count();
}

refusal make_refusal(std::string_view code, std::string message, std::chrono::milliseconds retry)
{
    return refusal{verdict::not_run, std::string{code}, std::move(message), retry};
}

refusal refuse_deadline(const queue_state& queue, const waiting_request& entry, double wait,
                        steady_time now)
{
    const double missing = wait - seconds_until(now, entry.latest_start);
    return make_refusal(code_deadline,
                        "the request is not expected to start in time to meet its deadline",
                        clamp_retry(queue.config, missing));
}

refusal refuse_shed(const queue_state& queue, const waiting_request& entry)
{
    return make_refusal(code_shed, "the queue is full and sheds its least urgent requests",
                        retry_after_drain(queue, entry.in->parent->parent->rank));
}

steady_time latest_start(const credit_request& what)
{
    return what.deadline == steady_time{} ? steady_time::max()
                                          : what.deadline - what.estimated_service;
}

/// Reason not to let an ask wait, or an empty code.
refusal check_admission(const queue_state& queue, const flow& of, const credit_request& what,
                        steady_time now)
{
    const account_state& account = *of.account;
    const double left = seconds_until(now, latest_start(what));
    if (account.is_blocked) {
        const double wait = expected_limit_wait(account);
        const auto limit = static_cast<std::size_t>(account.max_in_progress);
        if (account.waiting >= waiting_per_limit * limit || wait > left) {
            return make_refusal(code_account_limit,
                                "the account has its limit of requests in progress",
                                clamp_retry(queue.config, wait));
        }
    }
    const double wait =
        expected_wait(queue, *of.parent->parent, account, of.account_in_tier->waiting_cost, now);
    if (wait > left) {
        return make_refusal(code_deadline,
                            "the request is not expected to start in time to meet its deadline",
                            clamp_retry(queue.config, wait - left));
    }
    return {};
}

/// Sheds until the queue is within its bound.
void shed_excess(queue_state& queue, std::vector<shed_request>& shed)
{
    while (queue.waiting.size() > queue.config.max_waiting) {
        waiting_request* victim = find_victim(queue);
        refusal why = refuse_shed(queue, *victim);
        shed.push_back({remove_waiting(queue, *victim), std::move(why)});
    }
}

credit_request start(queue_state& queue, waiting_request& entry, steady_time now)
{
    flow& of = *entry.in;
    const double cost = entry.what.cost;
    charge_pick(of, cost);
    credit_request what = remove_waiting(queue, entry);
    add_running(of, cost);
    queue.running.emplace(what.request_id, running_record{&of, cost, now, false});
    return what;
}

waiting_request* find_reserved(const queue_state& queue, steady_time now)
{
    for (const tier_queue& tier : queue.tiers) {
        waiting_request* head = unfilled(tier.floor) > 0 ? head_of(tier, now) : nullptr;
        if (head != nullptr) {
            return head;
        }
    }
    for (const auto& [name, floor] : queue.kind_floors) {
        if (unfilled(floor) == 0 || floor.ready == 0) {
            continue;
        }
        for (const tier_queue& tier : queue.tiers) {
            const auto kind = tier.kinds.find(name);
            waiting_request* head = kind == tier.kinds.end() ? nullptr : head_of(kind->second, now);
            if (head != nullptr) {
                return head;
            }
        }
    }
    return nullptr;
}

const tier_queue* find_busy_tier(const queue_state& queue, int min_group)
{
    const auto it =
        std::find_if(queue.tiers.begin(), queue.tiers.end(), [&](const tier_queue& each) {
            return each.group >= min_group && !each.order.empty();
        });
    return it == queue.tiers.end() ? nullptr : &*it;
}

waiting_request* find_next(queue_state& queue, steady_time now)
{
    const tier_queue* first = find_busy_tier(queue, std::numeric_limits<int>::min());
    if (first == nullptr) {
        return nullptr;
    }
    const tier_queue* yielded_to = find_busy_tier(queue, first->group + 1);
    if (yielded_to != nullptr) {
        queue.yield_credit += queue.config.yield_share;
        if (queue.yield_credit >= 1) {
            queue.yield_credit -= 1;
            return head_of(*yielded_to, now);
        }
    }
    return head_of(*first, now);
}

bool is_recent(steady_time when, const queue_config& config, steady_time now)
{
    return when != steady_time{} && now - when <= config.demand_window;
}

void note_prompt_arrival(backlog_free_demand& demand, const account_state* account, steady_time now)
{
    if (demand.account != account) {
        demand.last_of_others = demand.last;
        demand.account = account;
    }
    demand.last = now;
}

/// True if another account than this one has shown demand without a backlog, in the tier of this
/// rank or a more urgent one. An account's own arrivals must not hold slots back from it.
bool is_headroom_needed(const queue_state& queue, int rank, const account_state* account,
                        steady_time now)
{
    const auto end = queue.tiers.begin() + rank + 1;
    return std::any_of(queue.tiers.begin(), end, [&](const tier_queue& each) {
        const bool is_other = each.prompt.account != account;
        const auto when = is_other ? each.prompt.last : each.prompt.last_of_others;
        return is_recent(when, queue.config, now);
    });
}

/// Next ask if only headroom is free. A backlog gets it only while nobody else of its own or a more
/// urgent tier has demand.
waiting_request* find_next_in_headroom(queue_state& queue, steady_time now)
{
    for (tier_queue& tier : queue.tiers) {
        waiting_request* head = head_of(tier, now);
        if (head != nullptr && is_headroom_needed(queue, tier.rank, head->in->account, now)) {
            head = head_without_backlog(queue, tier, now);
        }
        if (head != nullptr) {
            return head;
        }
    }
    return nullptr;
}

} // namespace

queue_state make_queue(queue_config config)
{
    queue_state queue;
    queue.config = std::move(config);
    if (queue.config.tiers.empty()) {
        queue.config.tiers.push_back({"default", 0});
    }
    queue.tiers = std::vector<tier_queue>(queue.config.tiers.size());
    for (std::size_t i = 0; i < queue.tiers.size(); ++i) {
        queue.tiers[i].rank = static_cast<int>(i);
        queue.tiers[i].name = queue.config.tiers[i].name;
        queue.tiers[i].group = queue.config.tiers[i].group;
        queue.tiers[i].floor.share = std::clamp(queue.config.tiers[i].floor, 0.0, 1.0);
    }
    for (const auto& [name, policy] : queue.config.kinds) {
        queue.kind_floors[name].share = std::clamp(policy.floor, 0.0, 1.0);
    }
    return queue;
}

std::vector<shed_request> reconfigure(queue_state& queue, queue_config config, steady_time now)
{
    queue_state next = make_queue(std::move(config));
    next.last_total_slots = queue.last_total_slots;
    next.yield_credit = queue.yield_credit;
    next.mean_cost = queue.mean_cost;
    next.mean_held = queue.mean_held;
    next.finished = queue.finished;
    for (const auto& [id, record] : queue.running) {
        const kind_queue& kind = *record.in->parent;
        flow& to = find_flow(next, kind.parent->rank, kind.name, record.in->account->name);
        to.account->mean_held = record.in->account->mean_held;
        add_running(to, record.cost);
        next.running.emplace(id,
                             running_record{&to, record.cost, record.picked, record.is_restored});
    }
    std::vector<waiting_request*> entries;
    entries.reserve(queue.waiting.size());
    for (auto& [id, entry] : queue.waiting) {
        entries.push_back(&entry);
    }
    std::sort(entries.begin(), entries.end(),
              [](const auto* a, const auto* b) { return a->sequence < b->sequence; });
    for (waiting_request* entry : entries) {
        credit_request what = std::move(entry->what);
        flow& to = find_flow(next, what.tier, what.kind, what.account);
        to.parent->parent->floor.last_arrival = now;
        to.parent->floor->last_arrival = now;
        insert_waiting(next, to, std::move(what), next.next_sequence++, now);
    }
    queue = std::move(next);
    std::vector<shed_request> shed;
    shed_excess(queue, shed);
    return shed;
}

enqueue_result enqueue(queue_state& queue, credit_request what, const slot_view& slots,
                       steady_time now)
{
    if (queue.waiting.contains(what.request_id)) {
        return {enqueue_status::already_waiting, {}, {}};
    }
    if (queue.running.contains(what.request_id)) {
        return {enqueue_status::in_progress, {}, {}};
    }
    // The cost comes from another process; shares need a positive finite number.
    if (!std::isfinite(what.cost) || what.cost <= 0) {
        what.cost = 1;
    }
    flow& to = find_flow(queue, what.tier, what.kind, what.account);
    tier_queue& tier = *to.parent->parent;
    if (latest_start(what) < now) {
        return {enqueue_status::refused,
                make_refusal(code_deadline,
                             "the deadline leaves too little time to run the request",
                             std::chrono::milliseconds{0}),
                {}};
    }
    tier.floor.last_arrival = now;
    to.parent->floor->last_arrival = now;
    queue.last_total_slots = slots.total;
    const int unfilled_slots = reserve_slots(queue, slots.total, now);
    const bool starts_now = can_start_now(queue, to, slots, unfilled_slots);
    if (!starts_now) {
        refusal why = check_admission(queue, to, what, now);
        if (!why.code.empty()) {
            return {enqueue_status::refused, std::move(why), {}};
        }
    }
    enqueue_result result;
    const std::string id = what.request_id;
    const double cost = what.cost;
    if (!has_backlog(queue, to, now)) {
        note_prompt_arrival(tier.prompt, to.account, now);
    }
    insert_waiting(queue, to, std::move(what), queue.next_sequence++, now);
    if (!starts_now) {
        shed_excess(queue, result.shed);
    }
    if (!queue.waiting.contains(id)) {
        const auto own =
            std::find_if(result.shed.begin(), result.shed.end(),
                         [&](const shed_request& each) { return each.what.request_id == id; });
        result.status = enqueue_status::refused;
        result.why = std::move(own->why);
        result.shed.erase(own);
        return result;
    }
    add_to_rate(tier.arrivals, cost, now);
    return result;
}

std::optional<credit_request> pick(queue_state& queue, const slot_view& slots, steady_time now)
{
    queue.last_total_slots = slots.total;
    const int unfilled_slots = reserve_slots(queue, slots.total, now);
    if (slots.free <= 0) {
        return std::nullopt;
    }
    waiting_request* next = find_reserved(queue, now);
    if (next == nullptr && slots.free > unfilled_slots) {
        const bool is_headroom = slots.free <= slots.free_headroom;
        next = is_headroom ? find_next_in_headroom(queue, now) : find_next(queue, now);
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    return start(queue, *next, now);
}

void finish(queue_state& queue, const std::string& request_id, double actual_cost, steady_time now)
{
    const auto it = queue.running.find(request_id);
    if (it == queue.running.end()) {
        return;
    }
    const running_record record = it->second;
    queue.running.erase(it);
    const double actual = std::isfinite(actual_cost) ? std::max(0.0, actual_cost) : record.cost;
    charge_correction(*record.in, actual - record.cost);
    if (actual > 0 && !record.is_restored) {
        const double held = std::chrono::duration<double>(now - record.picked).count();
        update_capacity_estimate(queue, *record.in->account, actual, std::max(1e-3, held));
    }
    remove_running(*record.in, record.cost);
}

void put_back(queue_state& queue, credit_request what, steady_time now)
{
    finish(queue, what.request_id, 0, now);
    if (queue.waiting.contains(what.request_id)) {
        return;
    }
    flow& to = find_flow(queue, what.tier, what.kind, what.account);
    insert_waiting(queue, to, std::move(what), --queue.front_sequence, now);
}

bool cancel(queue_state& queue, const std::string& request_id, steady_time)
{
    const auto it = queue.waiting.find(request_id);
    if (it == queue.waiting.end()) {
        return false;
    }
    remove_waiting(queue, it->second);
    return true;
}

void restore(queue_state& queue, const running_request& what, steady_time now)
{
    if (queue.running.contains(what.request_id)) {
        return;
    }
    cancel(queue, what.request_id, now);
    flow& of = find_flow(queue, what.tier, what.kind, what.account);
    const double cost = std::isfinite(what.cost) && what.cost > 0 ? what.cost : 1;
    add_running(of, cost);
    queue.running.emplace(what.request_id, running_record{&of, cost, now, true});
}

std::vector<shed_request> expire(queue_state& queue, steady_time now)
{
    std::vector<shed_request> removed;
    for (auto tier = queue.tiers.rbegin(); tier != queue.tiers.rend(); ++tier) {
        int checked = 0;
        auto it = tier->by_latest_start.begin();
        while (it != tier->by_latest_start.end() && std::get<0>(*it) != steady_time::max()) {
            waiting_request& entry = *std::get<2>(*it);
            ++it;
            const double left = seconds_until(now, entry.latest_start);
            const tier_account& own = *entry.in->account_in_tier;
            const double ahead = std::max(0.0, entry.queued_before - own.cost_left);
            const double wait = expected_wait(queue, *tier, *own.account, ahead, now);
            const bool is_late = left < 0;
            if (!is_late && ++checked > predictions_per_tier) {
                break;
            }
            if (is_late || wait > forecast_margin * left + forecast_slack_seconds) {
                refusal why = refuse_deadline(queue, entry, wait, now);
                removed.push_back({remove_waiting(queue, entry), std::move(why)});
            }
        }
    }
    return removed;
}

bool may_use_headroom(const queue_state& queue, const credit_request& what, steady_time now)
{
    const int last = static_cast<int>(queue.tiers.size()) - 1;
    const tier_queue& tier = queue.tiers[static_cast<std::size_t>(std::clamp(what.tier, 0, last))];
    const auto kind = tier.kinds.find(kind_key(queue.config, what.kind));
    if (kind == tier.kinds.end()) {
        return true;
    }
    const auto of = kind->second.flows.find(what.account);
    return of == kind->second.flows.end() || !has_backlog(queue, of->second, now) ||
           !is_headroom_needed(queue, tier.rank, of->second.account, now);
}

bool is_waiting(const queue_state& queue, const std::string& request_id)
{
    return queue.waiting.contains(request_id);
}

bool is_in_progress(const queue_state& queue, const std::string& request_id)
{
    return queue.running.contains(request_id);
}

std::chrono::milliseconds estimate_wait(const queue_state& queue, int tier,
                                        const std::string& account, steady_time now)
{
    const int last = static_cast<int>(queue.tiers.size()) - 1;
    const tier_queue& in = queue.tiers[static_cast<std::size_t>(std::clamp(tier, 0, last))];
    const auto known = in.accounts.find(account);
    account_state fallback;
    const bool is_known = known != in.accounts.end();
    const account_state& of = is_known ? *known->second.account : fallback;
    const double ahead = is_known ? known->second.waiting_cost : 0;
    const double wait = expected_wait(queue, in, of, ahead, now) + expected_limit_wait(of);
    return std::chrono::milliseconds{static_cast<std::int64_t>(std::min(wait, 1e6) * 1000)};
}

queue_status status(const queue_state& queue)
{
    queue_status summary;
    summary.waiting = queue.waiting.size();
    summary.in_progress = static_cast<int>(queue.running.size());
    summary.cost_per_second = capacity(queue);
    for (const tier_queue& tier : queue.tiers) {
        summary.tiers.push_back({tier.name, tier.waiting, tier.waiting_cost, tier.floor.in_progress,
                                 tier.floor.reserved});
    }
    return summary;
}

} // namespace almondline::scheduling
