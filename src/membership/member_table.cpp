#include "membership/member_table.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>

namespace almondline::membership {

namespace {

// Precedence of updates about the same incarnation with the same refutation number.
int rank_of(member_status status)
{
    switch (status) {
    case member_status::alive:
        return 0;
    case member_status::leaving:
        return 1;
    case member_status::suspect:
        return 2;
    case member_status::dead:
        return 3;
    }
    return 0;
}

bool is_newer(const member& update, const member& known)
{
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    if (update.refutation != known.refutation) {
        return update.refutation > known.refutation;
    }
    return rank_of(update.status) > rank_of(known.status);
}

void copy_if_given(std::string& to, const std::string& from)
{
    if (!from.empty()) {
        to = from;
    }
}

bool by_id(const member& a, const member& b)
{
    return a.id < b.id;
}

} // namespace

member_table::member_table(member self, const membership_config& config, std::uint64_t seed,
                           steady_time now)
    : self_{std::move(self)}, config_{config}, random_{seed}, started_{now}, last_tick_{now},
      last_received_{now}, next_random_{now}, next_gossip_{now}, next_verify_{now}, next_purge_{now}
{
    updates_.salt = seed;
}

void member_table::set_leaving(steady_time now)
{
    if (self_.status == member_status::leaving) {
        return;
    }
    self_.status = member_status::leaving;
    ++changes_;
    push_update(updates_, self_.id, records_.size() + 1);
    next_gossip_ = now;
}

void member_table::apply_list(const std::vector<listed_instance>& instances, steady_time now)
{
    for (auto& [id, it] : records_) {
        it.is_listed = false;
    }
    const auto latest = latest_by_address(instances);
    for (const auto& it : instances) {
        if (it.role != instance_role::entry) {
            continue;
        }
        if (it.id != self_.id) {
            const bool is_replaced =
                !it.peer_address.empty() && (it.peer_address == self_.peer_address ||
                                             latest.at(it.peer_address) > it.incarnation);
            apply_listed_member(it, is_replaced, now);
        }
        else if (it.is_leaving) {
            set_leaving(now);
        }
    }
}

void member_table::apply_listed_member(const listed_instance& entry, bool is_replaced,
                                       steady_time now)
{
    auto& known = add_record(entry.id, now);
    known.is_listed = true;
    known.last_listed = now;
    if (known.info.incarnation == 0) {
        known.info.peer_address = entry.peer_address;
        known.info.caller_address = entry.address;
        known.info.failure_domain = entry.failure_domain;
    }
    if (is_replaced && known.info.incarnation == 0) {
        known.is_replaced = true;
        unverified_.erase(entry.id);
    }
    if (!entry.is_leaving) {
        known.listed_leaving_incarnation = -1;
    }
    else if (known.listed_leaving_incarnation < 0) {
        known.listed_leaving_incarnation = known.info.incarnation;
    }
}

member_table::record& member_table::add_record(const std::string& id, steady_time now)
{
    const auto [it, is_new] = records_.try_emplace(id);
    if (is_new) {
        ++changes_;
        it->second.info.id = id;
        it->second.status_since = it->second.last_listed = now;
        ids_.push_back(id);
        unverified_.insert(id);
        // The member's own announcement usually arrives first. Without the delay the whole fleet
        // would probe a new member as soon as the list contains it.
        if (now - started_ >= config_.new_member_period) {
            it->second.next_probe = now + std::chrono::milliseconds{random_() % 5000U};
        }
    }
    return it->second;
}

void member_table::apply_update(const member& update, steady_time now)
{
    if (update.id == self_.id) {
        apply_self_update(update);
        return;
    }
    const auto it = records_.find(update.id);
    if (update.incarnation <= 0 || (it == records_.end() && update.status == member_status::dead)) {
        return;
    }
    auto& known = it == records_.end() ? add_record(update.id, now) : it->second;
    if (update.incarnation == known.info.incarnation) {
        known.info.manifest_version =
            std::max(known.info.manifest_version, update.manifest_version);
    }
    if (!is_newer(update, known.info)) {
        return;
    }
    // The sender may have declared the member dead before it suspected the rest of its domain.
    const bool is_premature =
        update.status == member_status::dead && is_unreachable(known.info.failure_domain);
    if (is_premature && known.info.status == member_status::suspect) {
        return;
    }
    const bool is_first_update = known.info.incarnation == 0;
    const bool is_new_process = known.info.incarnation != update.incarnation;
    const bool is_later_start =
        update.incarnation > self_.incarnation + config_.new_member_period.count();
    apply_newer_update(known, update, now);
    if (is_new_process) {
        mark_predecessors_replaced(known, now);
    }
    // Suspicions and refutations are also forwarded by instances that did not know the member: in a
    // starting fleet these are the majority, and a refutation that they drop arrives too late.
    const bool is_disputed = update.status == member_status::suspect || update.refutation > 0;
    if (!is_first_update || is_later_start || is_disputed) {
        push_update(updates_, update.id, records_.size() + 1);
    }
}

/// Of two processes with the same address the earlier one has ended. Probes of it would reach the
/// later process, which is another member.
void member_table::mark_predecessors_replaced(record& added, steady_time now)
{
    const auto& address = added.info.peer_address;
    if (address.empty()) {
        return;
    }
    bool is_earlier = address == self_.peer_address && added.info.incarnation < self_.incarnation;
    for (auto& [id, it] : records_) {
        if (&it == &added || it.info.peer_address != address) {
            continue;
        }
        if (it.info.incarnation < added.info.incarnation) {
            mark_replaced(it, now);
        }
        is_earlier = is_earlier || it.info.incarnation > added.info.incarnation;
    }
    if (is_earlier) {
        mark_replaced(added, now);
    }
}

void member_table::mark_replaced(record& replaced, steady_time now)
{
    replaced.is_replaced = true;
    unverified_.erase(replaced.info.id);
    if (replaced.info.incarnation > 0) {
        set_status(replaced, member_status::dead, now);
    }
}

/// Returns the incarnation of the latest process at each peer address, from the list and from the
/// known members.
std::unordered_map<std::string, std::int64_t>
member_table::latest_by_address(const std::vector<listed_instance>& instances) const
{
    std::unordered_map<std::string, std::int64_t> latest;
    const auto add = [&](const std::string& address, std::int64_t incarnation) {
        auto& known = latest[address];
        known = std::max(known, incarnation);
    };
    for (const auto& it : instances) {
        add(it.peer_address, it.incarnation);
    }
    for (const auto& [id, it] : records_) {
        add(it.info.peer_address, it.info.incarnation);
    }
    return latest;
}

std::size_t member_table::listed_count() const
{
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [](const auto& it) {
            return it.second.is_listed && !it.second.is_replaced;
        }));
}

std::size_t member_table::listed_alive_count() const
{
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [](const auto& it) {
            return it.second.is_listed && !it.second.is_replaced && is_usable(it.second);
        }));
}

void member_table::apply_self_update(const member& update)
{
    if (update.incarnation > self_.incarnation) {
        // If the clock went back across a restart, peers ignore this member until its incarnation
        // exceeds the previous one.
        log_event("membership", log_level::warning, "incarnation-raised",
                  {{"from", self_.incarnation}, {"to", update.incarnation + 1}});
        ++changes_;
        self_.incarnation = update.incarnation + 1;
        self_.refutation = 0;
    }
    else if (update.incarnation == self_.incarnation && update.refutation >= self_.refutation &&
             rank_of(update.status) >= rank_of(member_status::suspect)) {
        self_.refutation = update.refutation + 1;
    }
    else {
        return;
    }
    push_update(updates_, self_.id, records_.size() + 1);
}

void member_table::apply_newer_update(record& known, const member& update, steady_time now)
{
    if (update.incarnation != known.info.incarnation) {
        update_domain_counts(known, -1);
        if (known.listed_leaving_incarnation == 0) {
            known.listed_leaving_incarnation = update.incarnation;
        }
        ++changes_;
        known.info.incarnation = update.incarnation;
        known.info.manifest_version = update.manifest_version;
        known.info.status = member_status::alive;
        known.is_leaving = false;
        known.was_sent_sample = false;
        known.is_replaced = false;
        known.unanswered_since.reset();
        copy_if_given(known.info.failure_domain, update.failure_domain);
        update_domain_counts(known, 1);
        unverified_.erase(update.id);
        suspects_.erase(update.id);
        ring_.insert_or_assign(stable_hash(update.id), update.id);
    }
    known.info.refutation = update.refutation;
    copy_if_given(known.info.peer_address, update.peer_address);
    copy_if_given(known.info.caller_address, update.caller_address);
    known.info.cores = update.cores > 0 ? update.cores : known.info.cores;
    known.is_leaving = known.is_leaving || update.status == member_status::leaving;
    const bool is_still_leaving = update.status == member_status::alive && known.is_leaving;
    set_status(known, is_still_leaving ? member_status::leaving : update.status, now);
}

void member_table::set_status(record& target, member_status status, steady_time now)
{
    if (target.info.status == status) {
        return;
    }
    const bool is_back_after_outage = target.info.status == member_status::suspect &&
                                      status != member_status::dead &&
                                      now - target.status_since > 2 * config_.dead_after;
    ++changes_;
    update_domain_counts(target, -1);
    target.info.status = status;
    target.status_since = now;
    target.is_death_deferred = false;
    update_domain_counts(target, 1);
    const auto& id = target.info.id;
    if (status == member_status::suspect) {
        ++suspicions_;
        suspects_.insert(id);
        extra_targets_.erase(id);
    }
    else {
        suspects_.erase(id);
        // Probes that were unanswered before the refutation no longer count.
        target.unanswered_since.reset();
    }
    if (status == member_status::dead) {
        ++deaths_;
        ring_.erase(stable_hash(id));
        extra_targets_.erase(id);
    }
    else {
        ring_.insert_or_assign(stable_hash(id), id);
    }
    if (is_back_after_outage) {
        // A lost domain may be back, so the other suspects are probed first.
        random_probe_round_.assign(suspects_.begin(), suspects_.end());
        std::shuffle(random_probe_round_.begin(), random_probe_round_.end(), random_);
        extra_probes_ = random_probe_round_.size();
    }
    const auto level = status == member_status::dead ? log_level::info : log_level::debug;
    if (is_log_enabled("membership", level)) {
        log_event("membership", level, "member-status",
                  {{"member", id},
                   {"incarnation", target.info.incarnation},
                   {"status", to_string(status)}});
    }
}

void member_table::update_domain_counts(const record& counted, int step)
{
    if (counted.info.incarnation == 0 || counted.info.status == member_status::dead) {
        return;
    }
    auto& domain = domains_[counted.info.failure_domain];
    domain.members += step;
    domain.suspects += counted.info.status == member_status::suspect ? step : 0;
}

bool member_table::is_unreachable(const std::string& domain) const
{
    // In a domain with a single member, its death can't be distinguished from a loss of the domain.
    const auto it = domains_.find(domain);
    return it != domains_.end() && domain != self_.failure_domain && it->second.members >= 2 &&
           it->second.suspects == it->second.members;
}

bool member_table::is_usable(const record& candidate)
{
    return candidate.info.incarnation > 0 && candidate.info.status == member_status::alive &&
           candidate.listed_leaving_incarnation != candidate.info.incarnation;
}

const member* member_table::find(const std::string& id) const
{
    if (id == self_.id) {
        return &self_;
    }
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second.info;
}

incarnation_state member_table::state_of(const std::string& id, std::int64_t incarnation) const
{
    const auto* known = find(id);
    if (known == nullptr || known->incarnation == 0 || incarnation > known->incarnation) {
        return incarnation_state::unknown;
    }
    if (incarnation < known->incarnation || known->status == member_status::dead) {
        return incarnation_state::gone;
    }
    return known->status == member_status::suspect ? incarnation_state::silent
                                                   : incarnation_state::current;
}

std::vector<member> member_table::live_members() const
{
    std::vector<member> live;
    if (self_.status == member_status::alive) {
        live.push_back(self_);
    }
    for (const auto& [id, it] : records_) {
        if (is_usable(it)) {
            live.push_back(it.info);
        }
    }
    std::sort(live.begin(), live.end(), by_id);
    return live;
}

std::vector<member> member_table::all_members() const
{
    std::vector<member> all;
    for (const auto& [id, it] : records_) {
        all.push_back(it.info);
    }
    std::sort(all.begin(), all.end(), by_id);
    return all;
}

std::vector<member> member_table::advertised_members() const
{
    auto members = live_members();
    std::erase_if(members, [](const auto& it) { return it.caller_address.empty(); });
    return members;
}

std::vector<std::string> member_table::unreachable_domains() const
{
    std::vector<std::string> names;
    for (const auto& [name, it] : domains_) {
        if (is_unreachable(name)) {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

void member_table::purge_members(steady_time now)
{
    if (now < next_purge_) {
        return;
    }
    next_purge_ = now + std::chrono::seconds{1};
    const auto is_expired = [&](const std::string& id) {
        const auto& it = records_.at(id);
        const bool is_unresponsive = it.info.incarnation == 0 ||
                                     it.info.status == member_status::suspect ||
                                     it.info.status == member_status::dead;
        return is_unresponsive && !it.is_listed && now - it.last_listed >= config_.remove_after &&
               now - it.status_since >= config_.remove_after;
    };
    const auto rest = std::stable_partition(ids_.begin(), ids_.end(),
                                            [&](const auto& id) { return !is_expired(id); });
    for (auto it = rest; it != ids_.end(); ++it) {
        ++changes_;
        update_domain_counts(records_.at(*it), -1);
        records_.erase(*it);
        ring_.erase(stable_hash(*it));
        suspects_.erase(*it);
        unverified_.erase(*it);
        extra_targets_.erase(*it);
    }
    ids_.erase(rest, ids_.end());
}

} // namespace almondline::membership
