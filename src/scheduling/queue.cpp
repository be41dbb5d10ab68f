#include "scheduling/queue.h"

#include "scheduling/internal/forecast.h"
#include "scheduling/internal/queue_order.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace almondline::scheduling {

namespace {

// An account at its limit may have at most this many times the limit waiting, so that it cannot
// fill the queue with requests that no free slot can serve.
constexpr std::size_t waiting_per_limit = 2;
// Predictions per tier in one call of expire(). Bounds the duration of the call.
constexpr int predictions_per_tier = 16;
// A waiting request was admitted based on a forecast. It expires early only if the current forecast
// is clearly worse, by this factor and this time.
constexpr double forecast_margin = 1.5;
constexpr double forecast_slack_seconds = 0.2;

double seconds_until(steady_time now, steady_time when)
{
    if (when == steady_time::max()) {
        return std::numeric_limits<double>::infinity();
    }
    return std::chrono::duration<double>(when - now).count();
}

refusal make_refusal(std::string_view code, std::string message,
                     std::chrono::milliseconds retry_after)
{
    return refusal{verdict::not_run, std::string{code}, std::move(message), retry_after};
}

refusal make_deadline_refusal(const queue_state& queue, const waiting_request& entry, double wait,
                              steady_time now)
{
    const double missing_seconds = wait - seconds_until(now, entry.latest_start);
    return make_refusal(code_deadline,
                        "the request is not expected to start in time to meet its deadline",
                        clamp_retry(queue.config, missing_seconds));
}

refusal make_shed_refusal(const queue_state& queue, const waiting_request& entry)
{
    return make_refusal(code_shed, "the queue is full and sheds its least urgent requests",
                        retry_after_drain(queue, entry.flow->parent->parent->rank));
}

steady_time latest_start(const credit_request& request)
{
    return request.deadline == steady_time{} ? steady_time::max()
                                             : request.deadline - request.estimated_service;
}

/// Returns the refusal for a request that must not wait. Its code is empty if it may wait.
refusal check_admission(const queue_state& queue, const account_flow& flow,
                        const credit_request& request, steady_time now)
{
    const account_state& account = *flow.account;
    const double seconds_left = seconds_until(now, latest_start(request));
    if (account.is_blocked) {
        const double wait = expected_limit_wait(account);
        const auto limit = static_cast<std::size_t>(account.max_in_progress);
        if (account.waiting >= waiting_per_limit * limit || wait > seconds_left) {
            return make_refusal(code_account_limit,
                                "the account has its limit of requests in progress",
                                clamp_retry(queue.config, wait));
        }
    }
    const double wait = expected_wait(queue, *flow.parent->parent, account,
                                      flow.account_in_tier->waiting_cost, now);
    if (wait > seconds_left) {
        return make_refusal(code_deadline,
                            "the request is not expected to start in time to meet its deadline",
                            clamp_retry(queue.config, wait - seconds_left));
    }
    return {};
}

/// Sheds requests until the queue is within max_waiting.
void shed_excess(queue_state& queue, std::vector<shed_request>& shed)
{
    while (queue.waiting.size() > queue.config.max_waiting) {
        waiting_request* victim = find_victim(queue);
        refusal reason = make_shed_refusal(queue, *victim);
        shed.push_back({remove_waiting(queue, *victim), std::move(reason)});
    }
}

credit_request start(queue_state& queue, waiting_request& entry, steady_time now)
{
    account_flow& flow = *entry.flow;
    const double cost = entry.request.cost;
    charge_pick(flow, cost);
    credit_request request = remove_waiting(queue, entry);
    add_running(flow, cost);
    queue.running.emplace(request.request_id, running_record{&flow, cost, now, false});
    return request;
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
            return each.group >= min_group && !each.by_start.empty();
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
        queue.yield_balance += queue.config.yield_share;
        if (queue.yield_balance >= 1) {
            queue.yield_balance -= 1;
            return head_of(*yielded_to, now);
        }
    }
    return head_of(*first, now);
}

bool is_recent(steady_time when, const queue_config& config, steady_time now)
{
    return when != steady_time{} && now - when <= config.demand_window;
}

void note_backlog_free_arrival(backlog_free_demand& demand, const account_state* account,
                               steady_time now)
{
    if (demand.account != account) {
        demand.last_of_others = demand.last;
        demand.account = account;
    }
    demand.last = now;
}

/// Returns true if another account has recently shown demand without a backlog, in the tier of this
/// rank or a more urgent one. An account's own arrivals must not keep slots from it.
bool is_headroom_needed(const queue_state& queue, int rank, const account_state* account,
                        steady_time now)
{
    const auto end = queue.tiers.begin() + rank + 1;
    return std::any_of(queue.tiers.begin(), end, [&](const tier_queue& each) {
        const bool is_other = each.demand_without_backlog.account != account;
        const auto when = is_other ? each.demand_without_backlog.last
                                   : each.demand_without_backlog.last_of_others;
        return is_recent(when, queue.config, now);
    });
}

/// Returns the next request if only headroom is free. An account with a backlog may use headroom
/// only while no other account has demand in the same or a more urgent tier.
waiting_request* find_next_in_headroom(queue_state& queue, steady_time now)
{
    for (tier_queue& tier : queue.tiers) {
        waiting_request* head = head_of(tier, now);
        if (head != nullptr && is_headroom_needed(queue, tier.rank, head->flow->account, now)) {
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
    next.last_slots = queue.last_slots;
    next.yield_balance = queue.yield_balance;
    next.mean_cost = queue.mean_cost;
    next.mean_hold_time = queue.mean_hold_time;
    next.finished = queue.finished;
    for (const auto& [id, record] : queue.running) {
        const kind_queue& kind = *record.flow->parent;
        account_flow& flow =
            find_flow(next, kind.parent->rank, kind.name, record.flow->account->name);
        flow.account->mean_hold_time = record.flow->account->mean_hold_time;
        add_running(flow, record.cost);
        next.running.emplace(id,
                             running_record{&flow, record.cost, record.picked, record.is_restored});
    }
    std::vector<waiting_request*> entries;
    entries.reserve(queue.waiting.size());
    for (auto& [id, entry] : queue.waiting) {
        entries.push_back(&entry);
    }
    std::sort(entries.begin(), entries.end(),
              [](const auto* a, const auto* b) { return a->sequence < b->sequence; });
    for (waiting_request* entry : entries) {
        credit_request request = std::move(entry->request);
        account_flow& flow = find_flow(next, request.tier, request.kind, request.account);
        flow.parent->parent->floor.last_arrival = now;
        flow.parent->floor->last_arrival = now;
        insert_waiting(next, flow, std::move(request), next.next_sequence++, now);
    }
    queue = std::move(next);
    std::vector<shed_request> shed;
    shed_excess(queue, shed);
    return shed;
}

enqueue_result enqueue(queue_state& queue, credit_request request, const slot_view& slots,
                       steady_time now)
{
    if (queue.waiting.contains(request.request_id)) {
        return {enqueue_status::already_waiting, {}, {}};
    }
    if (queue.running.contains(request.request_id)) {
        return {enqueue_status::in_progress, {}, {}};
    }
    // The cost comes from another process, and the shares need a positive finite number.
    if (!std::isfinite(request.cost) || request.cost <= 0) {
        request.cost = 1;
    }
    account_flow& flow = find_flow(queue, request.tier, request.kind, request.account);
    tier_queue& tier = *flow.parent->parent;
    if (latest_start(request) < now) {
        return {enqueue_status::refused,
                make_refusal(code_deadline,
                             "the deadline leaves too little time to run the request",
                             std::chrono::milliseconds{0}),
                {}};
    }
    tier.floor.last_arrival = now;
    flow.parent->floor->last_arrival = now;
    queue.last_slots = slots;
    const int unfilled_slots = reserve_slots(queue, slots.total, now);
    const bool starts_now = can_start_now(queue, flow, slots, unfilled_slots);
    if (!starts_now) {
        refusal reason = check_admission(queue, flow, request, now);
        if (!reason.code.empty()) {
            return {enqueue_status::refused, std::move(reason), {}};
        }
    }
    enqueue_result result;
    const std::string id = request.request_id;
    const double cost = request.cost;
    if (!has_backlog(queue, flow, now)) {
        note_backlog_free_arrival(tier.demand_without_backlog, flow.account, now);
    }
    insert_waiting(queue, flow, std::move(request), queue.next_sequence++, now);
    if (!starts_now) {
        shed_excess(queue, result.shed);
    }
    if (!queue.waiting.contains(id)) {
        const auto own =
            std::find_if(result.shed.begin(), result.shed.end(),
                         [&](const shed_request& each) { return each.request.request_id == id; });
        result.status = enqueue_status::refused;
        result.reason = std::move(own->reason);
        result.shed.erase(own);
        return result;
    }
    add_to_rate(tier.arrivals, cost, now);
    return result;
}

std::optional<credit_request> pick(queue_state& queue, const slot_view& slots, steady_time now)
{
    queue.last_slots = slots;
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
    charge_correction(*record.flow, actual - record.cost);
    if (actual > 0 && !record.is_restored) {
        const double hold_time = std::chrono::duration<double>(now - record.picked).count();
        update_capacity_estimate(queue, *record.flow->account, actual, std::max(1e-3, hold_time));
    }
    remove_running(*record.flow, record.cost);
}

void put_back(queue_state& queue, credit_request request, steady_time now)
{
    finish(queue, request.request_id, 0, now);
    if (queue.waiting.contains(request.request_id)) {
        return;
    }
    account_flow& flow = find_flow(queue, request.tier, request.kind, request.account);
    insert_waiting(queue, flow, std::move(request), --queue.front_sequence, now);
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

void restore(queue_state& queue, const running_request& request, steady_time now)
{
    if (queue.running.contains(request.request_id)) {
        return;
    }
    cancel(queue, request.request_id, now);
    account_flow& flow = find_flow(queue, request.tier, request.kind, request.account);
    const double cost = std::isfinite(request.cost) && request.cost > 0 ? request.cost : 1;
    add_running(flow, cost);
    queue.running.emplace(request.request_id, running_record{&flow, cost, now, true});
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
            const double seconds_left = seconds_until(now, entry.latest_start);
            const tier_account& own = *entry.flow->account_in_tier;
            const double ahead = std::max(0.0, entry.cost_added_before - own.cost_removed);
            const double wait = expected_wait(queue, *tier, *own.account, ahead, now);
            const bool is_late = seconds_left < 0;
            if (!is_late && ++checked > predictions_per_tier) {
                break;
            }
            if (is_late || wait > forecast_margin * seconds_left + forecast_slack_seconds) {
                refusal reason = make_deadline_refusal(queue, entry, wait, now);
                removed.push_back({remove_waiting(queue, entry), std::move(reason)});
            }
        }
    }
    return removed;
}

bool may_use_headroom(const queue_state& queue, const credit_request& request, steady_time now)
{
    const int last = static_cast<int>(queue.tiers.size()) - 1;
    const tier_queue& tier =
        queue.tiers[static_cast<std::size_t>(std::clamp(request.tier, 0, last))];
    const auto kind = tier.kinds.find(kind_key(queue.config, request.kind));
    if (kind == tier.kinds.end()) {
        return true;
    }
    const auto found = kind->second.flows.find(request.account);
    return found == kind->second.flows.end() || !has_backlog(queue, found->second, now) ||
           !is_headroom_needed(queue, tier.rank, found->second.account, now);
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
    const tier_queue& target_tier =
        queue.tiers[static_cast<std::size_t>(std::clamp(tier, 0, last))];
    const auto known = target_tier.accounts.find(account);
    account_state fallback;
    const bool is_known = known != target_tier.accounts.end();
    const account_state& state = is_known ? *known->second.account : fallback;
    const double ahead = is_known ? known->second.waiting_cost : 0;
    const double wait =
        expected_wait(queue, target_tier, state, ahead, now) + expected_limit_wait(state);
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
