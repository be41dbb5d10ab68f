#include "scheduling/internal/queue_order.h"

#include <algorithm>

namespace almondline::scheduling {

namespace {

// A weight of zero or less would keep the account or kind from ever being served again.
constexpr double min_weight = 1e-3;

template <class T>
void index_start(ordered_index<T>& index, T& item, double start)
{
    if (item.is_active) {
        index.erase({item.start, item.tie_breaker, &item});
    }
    item.start = start;
    item.is_active = true;
    index.insert({start, item.tie_breaker, &item});
}

template <class T>
void unindex_start(ordered_index<T>& index, T& item)
{
    if (item.is_active) {
        index.erase({item.start, item.tie_breaker, &item});
        item.is_active = false;
    }
}

/// Changes the start tag of an active flow in the indexes.
void set_start_tag(account_flow& flow, double start)
{
    kind_queue& kind = *flow.parent;
    const bool is_without_backlog =
        kind.without_backlog.erase({flow.start, flow.tie_breaker, &flow}) > 0;
    index_start(kind.by_start, flow, start);
    if (is_without_backlog) {
        kind.without_backlog.insert({start, flow.tie_breaker, &flow});
    }
}

void activate(account_flow& flow)
{
    kind_queue& kind = *flow.parent;
    if (!flow.is_active) {
        index_start(kind.by_start, flow, std::max(kind.virtual_time, flow.finish));
        kind.without_backlog.insert({flow.start, flow.tie_breaker, &flow});
    }
    if (!kind.is_active) {
        index_start(kind.parent->by_start, kind, std::max(kind.parent->virtual_time, kind.finish));
    }
}

void deactivate(account_flow& flow)
{
    kind_queue& kind = *flow.parent;
    kind.without_backlog.erase({flow.start, flow.tie_breaker, &flow});
    unindex_start(kind.by_start, flow);
    if (kind.by_start.empty()) {
        unindex_start(kind.parent->by_start, kind);
    }
}

void count_ready(account_flow& flow, std::size_t n, bool is_added)
{
    for (floor_state* floor : {&flow.parent->parent->floor, flow.parent->floor}) {
        floor->ready = is_added ? floor->ready + n : floor->ready - n;
    }
}

void update_load(tier_queue& tier, tier_account& account)
{
    tier.by_load.erase({account.indexed_load, account.tie_breaker, &account});
    if (account.waiting_requests.empty()) {
        return;
    }
    account.indexed_load = (account.waiting_cost + account.running_cost) / account.account->weight;
    tier.by_load.insert({account.indexed_load, account.tie_breaker, &account});
}

account_state& find_account(queue_state& queue, const std::string& name)
{
    const auto [it, is_new] = queue.accounts.try_emplace(name);
    if (is_new) {
        it->second.name = name;
        const auto policy = queue.config.accounts.find(name);
        if (policy != queue.config.accounts.end()) {
            it->second.weight = std::max(min_weight, policy->second.weight);
            it->second.max_in_progress = std::max(0, policy->second.max_in_progress);
        }
    }
    return it->second;
}

kind_queue& find_kind(queue_state& queue, tier_queue& tier, const std::string& name)
{
    const auto [it, is_new] = tier.kinds.try_emplace(name);
    kind_queue& kind = it->second;
    if (is_new) {
        kind.parent = &tier;
        kind.name = name;
        kind.tie_breaker = queue.next_tie_breaker++;
        kind.floor = &queue.kind_floors[name];
        const auto policy = queue.config.kinds.find(name);
        if (policy != queue.config.kinds.end()) {
            kind.weight = std::max(min_weight, policy->second.weight);
        }
    }
    return kind;
}

} // namespace

const std::string& kind_key(const queue_config& config, const std::string& kind)
{
    static const std::string other;
    return config.kinds.contains(kind) ? kind : other;
}

account_flow& find_flow(queue_state& queue, int tier, const std::string& kind,
                        const std::string& account)
{
    const int last = static_cast<int>(queue.tiers.size()) - 1;
    tier_queue& target_tier = queue.tiers[static_cast<std::size_t>(std::clamp(tier, 0, last))];
    kind_queue& parent = find_kind(queue, target_tier, kind_key(queue.config, kind));
    const auto [it, is_new] = parent.flows.try_emplace(account);
    account_flow& found = it->second;
    if (is_new) {
        found.parent = &parent;
        found.tie_breaker = queue.next_tie_breaker++;
        found.account = &find_account(queue, account);
        found.account->flows.push_back(&found);
        tier_account& account_in_tier = target_tier.accounts[account];
        if (account_in_tier.account == nullptr) {
            account_in_tier.account = found.account;
            account_in_tier.tie_breaker = queue.next_tie_breaker++;
        }
        found.account_in_tier = &account_in_tier;
    }
    return found;
}

waiting_request& insert_waiting(queue_state& queue, account_flow& flow, credit_request request,
                                std::uint64_t sequence, steady_time now)
{
    const auto [it, is_new] = queue.waiting.try_emplace(request.request_id);
    waiting_request& entry = it->second;
    tier_queue& tier = *flow.parent->parent;
    tier_account& account_in_tier = *flow.account_in_tier;
    const double cost = request.cost;
    entry.flow = &flow;
    entry.sequence = sequence;
    entry.latest_start = request.deadline == steady_time{}
                             ? steady_time::max()
                             : request.deadline - request.estimated_service;
    entry.cost_added_before = account_in_tier.cost_added;
    entry.request = std::move(request);
    if (flow.waiting_requests.empty()) {
        flow.non_empty_since = now;
    }
    flow.waiting_requests.emplace(sequence, &entry);
    if (account_in_tier.waiting_requests.empty()) {
        tier.active_weight += flow.account->weight;
    }
    account_in_tier.waiting_requests.emplace(sequence, &entry);
    account_in_tier.waiting_cost += cost;
    account_in_tier.cost_added += cost;
    update_load(tier, account_in_tier);
    tier.by_latest_start.emplace(entry.latest_start, sequence, &entry);
    tier.waiting += 1;
    tier.waiting_cost += cost;
    flow.account->waiting += 1;
    if (!flow.account->is_blocked) {
        count_ready(flow, 1, true);
        activate(flow);
    }
    return entry;
}

credit_request remove_waiting(queue_state& queue, waiting_request& entry)
{
    account_flow& flow = *entry.flow;
    tier_queue& tier = *flow.parent->parent;
    tier_account& account_in_tier = *flow.account_in_tier;
    const double cost = entry.request.cost;
    flow.waiting_requests.erase(entry.sequence);
    if (!flow.account->is_blocked) {
        count_ready(flow, 1, false);
    }
    if (flow.waiting_requests.empty()) {
        deactivate(flow);
    }
    account_in_tier.waiting_requests.erase(entry.sequence);
    account_in_tier.cost_removed += cost;
    // Reset to exactly zero when empty, so that rounding errors do not accumulate.
    account_in_tier.waiting_cost =
        account_in_tier.waiting_requests.empty() ? 0 : account_in_tier.waiting_cost - cost;
    update_load(tier, account_in_tier);
    tier.waiting -= 1;
    tier.waiting_cost = tier.waiting == 0 ? 0 : tier.waiting_cost - cost;
    if (account_in_tier.waiting_requests.empty()) {
        tier.active_weight = tier.waiting == 0 ? 0 : tier.active_weight - flow.account->weight;
    }
    tier.by_latest_start.erase({entry.latest_start, entry.sequence, &entry});
    flow.account->waiting -= 1;
    credit_request request = std::move(entry.request);
    queue.waiting.erase(request.request_id);
    return request;
}

waiting_request* head_of(const tier_queue& tier, steady_time now)
{
    return tier.by_start.empty() ? nullptr : head_of(*std::get<2>(*tier.by_start.begin()), now);
}

waiting_request* head_of(const kind_queue& kind, steady_time now)
{
    if (kind.by_start.empty()) {
        return nullptr;
    }
    return head_of(*std::get<2>(*kind.by_start.begin()), now);
}

waiting_request* head_of(const account_flow& flow, steady_time now)
{
    const auto is_late = [&](const waiting_request& it) {
        return it.request.dispatch_by != steady_time{} && it.request.dispatch_by < now;
    };
    waiting_request* oldest = flow.waiting_requests.begin()->second;
    if (!is_late(*oldest)) {
        return oldest;
    }
    waiting_request* newest = flow.waiting_requests.rbegin()->second;
    return is_late(*newest) ? oldest : newest;
}

bool has_backlog(const queue_state& queue, const account_flow& flow, steady_time now)
{
    return !flow.waiting_requests.empty() &&
           now - flow.non_empty_since > queue.config.backlog_after;
}

waiting_request* head_without_backlog(const queue_state& queue, tier_queue& tier, steady_time now)
{
    for (const auto& [start, tie_breaker, kind] : tier.by_start) {
        while (!kind->without_backlog.empty()) {
            account_flow* first = std::get<2>(*kind->without_backlog.begin());
            if (!has_backlog(queue, *first, now)) {
                return head_of(*first, now);
            }
            kind->without_backlog.erase(kind->without_backlog.begin());
        }
    }
    return nullptr;
}

void charge_pick(account_flow& flow, double cost)
{
    kind_queue& kind = *flow.parent;
    tier_queue& tier = *kind.parent;
    tier.virtual_time = std::max(tier.virtual_time, kind.start);
    kind.virtual_time = std::max(kind.virtual_time, flow.start);
    kind.finish = kind.start + cost / kind.weight;
    flow.finish = flow.start + cost / flow.account->weight;
    index_start(tier.by_start, kind, kind.finish);
    set_start_tag(flow, flow.finish);
}

void charge_correction(account_flow& flow, double difference)
{
    kind_queue& kind = *flow.parent;
    flow.finish += difference / flow.account->weight;
    kind.finish += difference / kind.weight;
    if (flow.is_active) {
        set_start_tag(flow, flow.start + difference / flow.account->weight);
    }
    if (kind.is_active) {
        index_start(kind.parent->by_start, kind, kind.start + difference / kind.weight);
    }
}

void add_running(account_flow& flow, double cost)
{
    flow.account->in_progress += 1;
    flow.parent->floor->in_progress += 1;
    flow.parent->parent->floor.in_progress += 1;
    flow.account_in_tier->running_cost += cost;
    update_load(*flow.parent->parent, *flow.account_in_tier);
    update_blocked_state(*flow.account);
}

void remove_running(account_flow& flow, double cost)
{
    flow.account->in_progress -= 1;
    flow.parent->floor->in_progress -= 1;
    flow.parent->parent->floor.in_progress -= 1;
    flow.account_in_tier->running_cost = std::max(0.0, flow.account_in_tier->running_cost - cost);
    update_load(*flow.parent->parent, *flow.account_in_tier);
    update_blocked_state(*flow.account);
}

void update_blocked_state(account_state& account)
{
    const bool is_at_limit =
        account.max_in_progress > 0 && account.in_progress >= account.max_in_progress;
    if (is_at_limit == account.is_blocked) {
        return;
    }
    account.is_blocked = is_at_limit;
    for (account_flow* flow : account.flows) {
        count_ready(*flow, flow->waiting_requests.size(), !is_at_limit);
        if (is_at_limit) {
            deactivate(*flow);
        }
        else if (!flow->waiting_requests.empty()) {
            activate(*flow);
        }
    }
}

waiting_request* find_victim(const queue_state& queue)
{
    for (auto tier = queue.tiers.rbegin(); tier != queue.tiers.rend(); ++tier) {
        if (!tier->by_load.empty()) {
            return std::get<2>(*tier->by_load.rbegin())->waiting_requests.rbegin()->second;
        }
    }
    return nullptr;
}

} // namespace almondline::scheduling
