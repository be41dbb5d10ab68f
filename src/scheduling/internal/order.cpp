#include "scheduling/internal/order.h"

#include <algorithm>

namespace almondline::scheduling {

namespace {

// A weight of zero or less would stop the account or kind for good.
constexpr double min_weight = 1e-3;

template <class T>
void index_start(ordered_index<T>& order, T& item, double start)
{
    if (item.is_active) {
        order.erase({item.start, item.number, &item});
    }
    item.start = start;
    item.is_active = true;
    order.insert({start, item.number, &item});
}

template <class T>
void unindex_start(ordered_index<T>& order, T& item)
{
    if (item.is_active) {
        order.erase({item.start, item.number, &item});
        item.is_active = false;
    }
}

/// Moves an active flow to another start tag.
void move_flow(flow& of, double start)
{
    kind_queue& kind = *of.parent;
    const bool is_prompt = kind.prompt.erase({of.start, of.number, &of}) > 0;
    index_start(kind.order, of, start);
    if (is_prompt) {
        kind.prompt.insert({start, of.number, &of});
    }
}

void activate(flow& of)
{
    kind_queue& kind = *of.parent;
    if (!of.is_active) {
        index_start(kind.order, of, std::max(kind.virtual_time, of.finish));
        kind.prompt.insert({of.start, of.number, &of});
    }
    if (!kind.is_active) {
        index_start(kind.parent->order, kind, std::max(kind.parent->virtual_time, kind.finish));
    }
}

void deactivate(flow& of)
{
    kind_queue& kind = *of.parent;
    kind.prompt.erase({of.start, of.number, &of});
    unindex_start(kind.order, of);
    if (kind.order.empty()) {
        unindex_start(kind.parent->order, kind);
    }
}

void count_ready(flow& of, std::size_t n, bool is_added)
{
    for (floor_state* floor : {&of.parent->parent->floor, of.parent->floor}) {
        floor->ready = is_added ? floor->ready + n : floor->ready - n;
    }
}

void update_load(tier_queue& tier, tier_account& account)
{
    tier.by_load.erase({account.indexed_load, account.number, &account});
    if (account.credit_requests.empty()) {
        return;
    }
    account.indexed_load = (account.waiting_cost + account.running_cost) / account.account->weight;
    tier.by_load.insert({account.indexed_load, account.number, &account});
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
        kind.number = queue.next_number++;
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

flow& find_flow(queue_state& queue, int tier, const std::string& kind, const std::string& account)
{
    const int last = static_cast<int>(queue.tiers.size()) - 1;
    tier_queue& in = queue.tiers[static_cast<std::size_t>(std::clamp(tier, 0, last))];
    kind_queue& parent = find_kind(queue, in, kind_key(queue.config, kind));
    const auto [it, is_new] = parent.flows.try_emplace(account);
    flow& found = it->second;
    if (is_new) {
        found.parent = &parent;
        found.number = queue.next_number++;
        found.account = &find_account(queue, account);
        found.account->flows.push_back(&found);
        tier_account& account_in_tier = in.accounts[account];
        if (account_in_tier.account == nullptr) {
            account_in_tier.account = found.account;
            account_in_tier.number = queue.next_number++;
        }
        found.account_in_tier = &account_in_tier;
    }
    return found;
}

waiting_request& insert_waiting(queue_state& queue, flow& to, credit_request what,
                                std::uint64_t sequence, steady_time now)
{
    const auto [it, is_new] = queue.waiting.try_emplace(what.request_id);
    waiting_request& entry = it->second;
    tier_queue& tier = *to.parent->parent;
    tier_account& account_in_tier = *to.account_in_tier;
    const double cost = what.cost;
    entry.in = &to;
    entry.sequence = sequence;
    entry.latest_start = what.deadline == steady_time{} ? steady_time::max()
                                                        : what.deadline - what.estimated_service;
    entry.queued_before = account_in_tier.cost_entered;
    entry.what = std::move(what);
    if (to.credit_requests.empty()) {
        to.waiting_since = now;
    }
    to.credit_requests.emplace(sequence, &entry);
    if (account_in_tier.credit_requests.empty()) {
        tier.active_weight += to.account->weight;
    }
    account_in_tier.credit_requests.emplace(sequence, &entry);
    account_in_tier.waiting_cost += cost;
    account_in_tier.cost_entered += cost;
    update_load(tier, account_in_tier);
    tier.by_latest_start.emplace(entry.latest_start, sequence, &entry);
    tier.waiting += 1;
    tier.waiting_cost += cost;
    to.account->waiting += 1;
    if (!to.account->is_blocked) {
        count_ready(to, 1, true);
        activate(to);
    }
    return entry;
}

credit_request remove_waiting(queue_state& queue, waiting_request& entry)
{
    flow& of = *entry.in;
    tier_queue& tier = *of.parent->parent;
    tier_account& account_in_tier = *of.account_in_tier;
    const double cost = entry.what.cost;
    of.credit_requests.erase(entry.sequence);
    if (!of.account->is_blocked) {
        count_ready(of, 1, false);
    }
    if (of.credit_requests.empty()) {
        deactivate(of);
    }
    account_in_tier.credit_requests.erase(entry.sequence);
    account_in_tier.cost_left += cost;
    // Exactly zero when empty, so that rounding errors do not add up.
    account_in_tier.waiting_cost =
        account_in_tier.credit_requests.empty() ? 0 : account_in_tier.waiting_cost - cost;
    update_load(tier, account_in_tier);
    tier.waiting -= 1;
    tier.waiting_cost = tier.waiting == 0 ? 0 : tier.waiting_cost - cost;
    if (account_in_tier.credit_requests.empty()) {
        tier.active_weight = tier.waiting == 0 ? 0 : tier.active_weight - of.account->weight;
    }
    tier.by_latest_start.erase({entry.latest_start, entry.sequence, &entry});
    of.account->waiting -= 1;
    credit_request what = std::move(entry.what);
    queue.waiting.erase(what.request_id);
    return what;
}

waiting_request* head_of(const tier_queue& tier, steady_time now)
{
    return tier.order.empty() ? nullptr : head_of(*std::get<2>(*tier.order.begin()), now);
}

waiting_request* head_of(const kind_queue& kind, steady_time now)
{
    if (kind.order.empty()) {
        return nullptr;
    }
    return head_of(*std::get<2>(*kind.order.begin()), now);
}

waiting_request* head_of(const flow& of, steady_time now)
{
    const auto is_late = [&](const waiting_request& it) {
        return it.what.dispatch_by != steady_time{} && it.what.dispatch_by < now;
    };
    waiting_request* oldest = of.credit_requests.begin()->second;
    if (!is_late(*oldest)) {
        return oldest;
    }
    waiting_request* newest = of.credit_requests.rbegin()->second;
    return is_late(*newest) ? oldest : newest;
}

bool has_backlog(const queue_state& queue, const flow& of, steady_time now)
{
    return !of.credit_requests.empty() && now - of.waiting_since > queue.config.backlog_after;
}

waiting_request* head_without_backlog(const queue_state& queue, tier_queue& tier, steady_time now)
{
    for (const auto& [start, number, kind] : tier.order) {
        while (!kind->prompt.empty()) {
            flow* first = std::get<2>(*kind->prompt.begin());
            if (!has_backlog(queue, *first, now)) {
                return head_of(*first, now);
            }
            kind->prompt.erase(kind->prompt.begin());
        }
    }
    return nullptr;
}

void charge_pick(flow& of, double cost)
{
    kind_queue& kind = *of.parent;
    tier_queue& tier = *kind.parent;
    tier.virtual_time = std::max(tier.virtual_time, kind.start);
    kind.virtual_time = std::max(kind.virtual_time, of.start);
    kind.finish = kind.start + cost / kind.weight;
    of.finish = of.start + cost / of.account->weight;
    index_start(tier.order, kind, kind.finish);
    move_flow(of, of.finish);
}

void charge_correction(flow& of, double difference)
{
    kind_queue& kind = *of.parent;
    of.finish += difference / of.account->weight;
    kind.finish += difference / kind.weight;
    if (of.is_active) {
        move_flow(of, of.start + difference / of.account->weight);
    }
    if (kind.is_active) {
        index_start(kind.parent->order, kind, kind.start + difference / kind.weight);
    }
}

void add_running(flow& of, double cost)
{
    of.account->in_progress += 1;
    of.parent->floor->in_progress += 1;
    of.parent->parent->floor.in_progress += 1;
    of.account_in_tier->running_cost += cost;
    update_load(*of.parent->parent, *of.account_in_tier);
    update_block(*of.account);
}

void remove_running(flow& of, double cost)
{
    of.account->in_progress -= 1;
    of.parent->floor->in_progress -= 1;
    of.parent->parent->floor.in_progress -= 1;
    of.account_in_tier->running_cost = std::max(0.0, of.account_in_tier->running_cost - cost);
    update_load(*of.parent->parent, *of.account_in_tier);
    update_block(*of.account);
}

void update_block(account_state& account)
{
    const bool is_at_limit =
        account.max_in_progress > 0 && account.in_progress >= account.max_in_progress;
    if (is_at_limit == account.is_blocked) {
        return;
    }
    account.is_blocked = is_at_limit;
    for (flow* of : account.flows) {
        count_ready(*of, of->credit_requests.size(), !is_at_limit);
        if (is_at_limit) {
            deactivate(*of);
        }
        else if (!of->credit_requests.empty()) {
            activate(*of);
        }
    }
}

waiting_request* find_victim(const queue_state& queue)
{
    for (auto tier = queue.tiers.rbegin(); tier != queue.tiers.rend(); ++tier) {
        if (!tier->by_load.empty()) {
            return std::get<2>(*tier->by_load.rbegin())->credit_requests.rbegin()->second;
        }
    }
    return nullptr;
}

} // namespace almondline::scheduling
