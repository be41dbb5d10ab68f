#include "membership/member_table.h"

#include "common/hash.h"

#include <algorithm>

namespace almondline::membership {

namespace {

// A process that received nothing for this long may be isolated itself and declares no member dead.
constexpr std::chrono::milliseconds isolation_limit{1500};
constexpr std::chrono::milliseconds indirect_probe_lifetime{2000};
// Longest time for which a suspicion is forwarded while its death is deferred.
constexpr std::chrono::seconds max_deferred_gossip{15};
constexpr std::size_t mass_suspicion_threshold = 8;
constexpr std::size_t max_extra_targets = 32;
constexpr std::size_t max_relays = 256;
constexpr int probes_before_suspicion = 3;
constexpr int max_random_tries = 8;
// Far above max_updates, so that messages of peers with a higher setting are accepted.
constexpr std::size_t max_received_updates = 64;

} // namespace

std::vector<outgoing_message> member_table::tick(steady_time now)
{
    std::vector<outgoing_message> out;
    if (now - last_tick_ > config_.pause_limit) {
        handle_pause(now);
    }
    refill_update_budget(now);
    last_tick_ = now;
    expire_indirect_probes(now);
    probe_targets(now, out);
    probe_random(now, out);
    probe_unverified(now, out);
    expire_suspicions(now);
    gossip(now, out);
    purge_members(now);
    return out;
}

void member_table::refill_update_budget(steady_time now)
{
    const std::chrono::duration<double> elapsed = now - last_tick_;
    update_budget_ = std::min<double>(config_.update_burst,
                                      update_budget_ + elapsed.count() * config_.update_rate);
}

void member_table::handle_pause(steady_time now)
{
    for (auto& [id, it] : records_) {
        it.unanswered_since.reset();
        it.next_probe = now;
        if (it.info.status == member_status::suspect) {
            it.status_since = now;
        }
    }
    last_received_ = now;
    // Updates sent during the pause are lost, so every member is probed.
    extra_probes_ = ids_.size();
    random_probe_round_.clear();
}

std::vector<std::string> member_table::find_successors() const
{
    std::vector<std::string> found;
    int responsive = 0;
    int suspects = 0;
    auto it = ring_.upper_bound(stable_hash(self_.id));
    for (std::size_t i = 0; i < ring_.size() && responsive < config_.successors; ++i, ++it) {
        if (it == ring_.end()) {
            it = ring_.begin();
        }
        const bool is_suspect = suspects_.count(it->second) > 0;
        // Suspects in between are probed too, so that they can refute the suspicion. Their number
        // is limited because a whole domain may be lost.
        if (is_suspect && ++suspects > config_.successors) {
            continue;
        }
        responsive += is_suspect ? 0 : 1;
        found.push_back(it->second);
    }
    return found;
}

const std::vector<std::string>& member_table::successors()
{
    if (successors_version_ != changes_) {
        successors_ = find_successors();
        successors_version_ = changes_;
    }
    return successors_;
}

std::chrono::milliseconds member_table::probe_interval() const
{
    const double size_factor =
        static_cast<double>(ring_.size()) / static_cast<double>(config_.full_rate_members);
    const double factor = std::clamp(size_factor, 1.0, config_.max_interval_factor);
    return std::chrono::duration_cast<std::chrono::milliseconds>(config_.probe_interval * factor);
}

void member_table::probe_targets(steady_time now, std::vector<outgoing_message>& out)
{
    auto targets = successors();
    for (const auto& id : extra_targets_) {
        if (std::find(targets.begin(), targets.end(), id) == targets.end()) {
            targets.push_back(id);
        }
    }
    for (const auto& id : targets) {
        auto& target = records_.at(id);
        if (now >= target.next_probe) {
            probe_target(target, now, out);
        }
        const bool is_unresponsive = target.unanswered_since &&
                                     now - *target.unanswered_since >= config_.suspect_after &&
                                     target.probes_sent >= probes_before_suspicion;
        if (is_unresponsive && suspects_.count(id) == 0) {
            set_status(target, member_status::suspect, now);
            push_update(updates_, id, records_.size() + 1);
            next_gossip_ = now;
        }
    }
}

void member_table::probe_target(record& target, steady_time now, std::vector<outgoing_message>& out)
{
    if (now - target.next_probe > probe_interval()) {
        target.unanswered_since.reset(); // it has not been a probe target for a while
    }
    const auto& id = target.info.id;
    const bool is_suspect =
        target.info.status == member_status::suspect && extra_targets_.count(id) == 0;
    if (!target.unanswered_since) {
        target.unanswered_since = now;
        target.probes_sent = 0;
    }
    else if (!is_suspect) {
        request_indirect_probes(target, now, out);
    }
    ++target.probes_sent;
    target.next_probe = now + (is_suspect ? probe_interval() : config_.retry_interval);
    out.push_back({id, make_message(id, false, ++last_nonce_)});
}

void member_table::request_indirect_probes(const record& target, steady_time now,
                                           std::vector<outgoing_message>& out)
{
    for (int i = 0; i < config_.indirect_probes; ++i) {
        const auto* relay = random_peer(target.info.id);
        if (relay == nullptr) {
            return;
        }
        auto message = make_message(relay->info.id, false, ++last_nonce_);
        message.indirect_target = target.info.id;
        pending_indirect_probes_[last_nonce_] = {target.info.id, now + indirect_probe_lifetime};
        out.push_back({relay->info.id, std::move(message)});
    }
}

void member_table::probe_random(steady_time now, std::vector<outgoing_message>& out)
{
    if (now < next_random_ || ids_.empty()) {
        return;
    }
    int probes = 1;
    next_random_ = now + probe_interval();
    if (extra_probes_ > 0) {
        probes = config_.verify_probes;
        extra_probes_ -= std::min(extra_probes_, static_cast<std::size_t>(probes));
        next_random_ = now + config_.verify_interval;
    }
    for (int i = 0; i < probes && extra_targets_.size() < max_extra_targets; ++i) {
        if (random_probe_round_.empty()) {
            random_probe_round_ = ids_;
            std::shuffle(random_probe_round_.begin(), random_probe_round_.end(), random_);
        }
        const auto id = random_probe_round_.back();
        random_probe_round_.pop_back();
        const auto it = records_.find(id);
        if (it == records_.end() || it->second.info.incarnation == 0 || it->second.is_replaced) {
            continue;
        }
        const auto status = it->second.info.status;
        if (status == member_status::alive || status == member_status::leaving) {
            extra_targets_.insert(id);
            it->second.next_probe = std::min(it->second.next_probe, now);
        }
        else {
            // A running member that is considered dead is informed by the probe and refutes.
            out.push_back({id, make_message(id, false, ++last_nonce_)});
        }
    }
}

void member_table::probe_unverified(steady_time now, std::vector<outgoing_message>& out)
{
    if (now < next_verify_) {
        return;
    }
    next_verify_ = now + config_.verify_interval;
    if (verify_round_.empty()) {
        // Shuffled so that members that start together don't all probe the same one at once.
        verify_round_.assign(unverified_.begin(), unverified_.end());
        std::shuffle(verify_round_.begin(), verify_round_.end(), random_);
    }
    for (int probes = 0; probes < config_.verify_probes && !verify_round_.empty();) {
        const auto id = verify_round_.back();
        verify_round_.pop_back();
        const auto it = records_.find(id);
        if (unverified_.count(id) == 0 || now < it->second.next_probe) {
            continue;
        }
        it->second.next_probe =
            now + std::chrono::seconds{1} + std::chrono::milliseconds{random_() % 1000U};
        out.push_back({id, make_message(id, false, ++last_nonce_)});
        ++probes;
    }
}

void member_table::gossip(steady_time now, std::vector<outgoing_message>& out)
{
    if (now < next_gossip_ || updates_.entries.empty()) {
        return;
    }
    next_gossip_ = now + config_.gossip_interval;
    for (int i = 0; i < config_.gossip_fanout; ++i) {
        const auto* peer = random_peer({});
        if (peer != nullptr) {
            out.push_back({peer->info.id, make_message(peer->info.id, false, 0)});
        }
    }
}

void member_table::expire_suspicions(steady_time now)
{
    const std::vector<std::string> ids{suspects_.begin(), suspects_.end()};
    for (const auto& id : ids) {
        auto& suspect = records_.at(id);
        if (now - suspect.status_since < config_.dead_after) {
            continue;
        }
        // With many suspects, refutations queue up and arrive late.
        suspect.is_death_deferred =
            suspect.is_death_deferred || suspects_.size() > mass_suspicion_threshold;
        if (!may_declare_dead(suspect, now)) {
            suspect.is_death_deferred = true;
            continue;
        }
        if (suspect.is_death_deferred) {
            reprobe(suspect, now);
        }
        const bool is_reprobe_unanswered =
            suspect.unanswered_since && now - *suspect.unanswered_since >= config_.suspect_after &&
            suspect.probes_sent >= probes_before_suspicion;
        if (!suspect.is_death_deferred || (extra_targets_.count(id) > 0 && is_reprobe_unanswered)) {
            set_status(suspect, member_status::dead, now);
            push_update(updates_, id, records_.size() + 1);
        }
    }
}

// Probes a suspect again before it is declared dead. If its domain was lost and is back, at least
// in part, the suspect could neither answer nor refute before.
void member_table::reprobe(const record& suspect, steady_time now)
{
    const auto& id = suspect.info.id;
    if (extra_targets_.size() >= max_extra_targets || extra_targets_.count(id) > 0) {
        return;
    }
    extra_targets_.insert(id);
    auto& target = records_.at(id);
    target.unanswered_since.reset();
    target.next_probe = now;
}

bool member_table::may_declare_dead(const record& suspect, steady_time now) const
{
    if (is_isolated(now)) {
        return false;
    }
    const auto& name = suspect.info.failure_domain;
    const auto& domain = domains_.at(name);
    // A message from another member of the domain since the suspicion started shows that the member
    // is dead rather than its domain lost.
    return name.empty() || name == self_.failure_domain || domain.members < 2 ||
           domain.last_received > suspect.status_since;
}

bool member_table::is_isolated(steady_time now) const
{
    return now - last_received_ > isolation_limit;
}

void member_table::expire_indirect_probes(steady_time now)
{
    std::erase_if(pending_indirect_probes_,
                  [&](const auto& it) { return it.second.expires <= now; });
    std::erase_if(relays_, [&](const auto& it) { return it.second.expires <= now; });
}

std::vector<outgoing_message> member_table::receive(const std::string& from,
                                                    const probe_message& message, steady_time now)
{
    std::vector<outgoing_message> out;
    const auto& updates = message.updates;
    if (from == self_.id || updates.empty() || updates.size() > max_received_updates ||
        updates.front().id != from) {
        return out;
    }
    for (const auto& it : message.updates) {
        apply_update(it, now);
    }
    const auto it = records_.find(from);
    if (it == records_.end() || it->second.info.incarnation > message.updates.front().incarnation) {
        return out; // a message of an earlier incarnation proves nothing about the current one
    }
    note_received_from(from, now);
    if (message.is_ack) {
        handle_ack(from, message, now, out);
    }
    else {
        answer(from, message, now, out);
    }
    return out;
}

void member_table::answer(const std::string& from, const probe_message& message, steady_time now,
                          std::vector<outgoing_message>& out)
{
    if (!message.indirect_target.empty()) {
        if (relays_.size() >= max_relays || records_.count(message.indirect_target) == 0) {
            return;
        }
        const auto& target = message.indirect_target;
        relays_[++last_nonce_] = {from, target, message.nonce, now + indirect_probe_lifetime};
        out.push_back({target, make_message(target, false, last_nonce_)});
        return;
    }
    const auto status = records_.at(from).info.status;
    const bool is_suspected = status == member_status::suspect || status == member_status::dead;
    if (message.nonce != 0 || is_suspected) {
        out.push_back({from, make_message(from, message.nonce != 0, message.nonce)});
    }
}

void member_table::handle_ack(const std::string& from, const probe_message& message,
                              steady_time now, std::vector<outgoing_message>& out)
{
    const auto pending = pending_indirect_probes_.find(message.nonce);
    if (!message.indirect_target.empty()) {
        if (pending != pending_indirect_probes_.end() &&
            pending->second.target == message.indirect_target) {
            note_received_from(message.indirect_target, now);
        }
        return;
    }
    const auto relay = relays_.find(message.nonce);
    if (relay == relays_.end() || relay->second.target != from) {
        return;
    }
    auto ack = make_message(relay->second.requester, true, relay->second.nonce);
    ack.indirect_target = from;
    out.push_back({relay->second.requester, std::move(ack)});
    relays_.erase(relay);
}

void member_table::note_received_from(const std::string& id, steady_time now)
{
    last_received_ = now;
    const auto it = records_.find(id);
    if (it == records_.end()) {
        return;
    }
    it->second.unanswered_since.reset();
    it->second.next_probe = now + probe_interval();
    extra_targets_.erase(id);
    domains_[it->second.info.failure_domain].last_received = now;
}

probe_message member_table::make_message(const std::string& to, bool is_ack, std::int64_t nonce)
{
    probe_message message{is_ack, nonce, {self_}, {}};
    auto& updates = message.updates;
    const auto peer = records_.find(to);
    const bool is_known = peer != records_.end() && peer->second.info.incarnation > 0;
    if (is_known && (peer->second.info.status == member_status::suspect ||
                     peer->second.info.status == member_status::dead)) {
        updates.push_back(peer->second.info);
    }
    const auto budget = static_cast<std::size_t>(std::max(0.0, update_budget_));
    const auto limit = std::min(budget, config_.max_updates - updates.size());
    for (const auto& id : take_updates(updates_, limit)) {
        update_budget_ -= 1;
        const auto it = records_.find(id);
        // Suspicions whose death is deferred are unconfirmed. If they spread after a lost domain is
        // back, those of one side would hide the members of the other side from callers.
        if (it != records_.end() && id != to && it->second.info.incarnation > 0 &&
            !(it->second.is_death_deferred &&
              last_tick_ - it->second.status_since > max_deferred_gossip)) {
            updates.push_back(it->second.info);
        }
    }
    if (is_ack && is_known && !peer->second.was_sent_sample) {
        peer->second.was_sent_sample = true;
        while (updates.size() < config_.max_updates) {
            const auto* sample = random_peer(to);
            if (sample == nullptr) {
                break;
            }
            updates.push_back(sample->info);
        }
    }
    return message;
}

const member_table::record* member_table::random_peer(const std::string& except)
{
    for (int i = 0; i < max_random_tries && !ids_.empty(); ++i) {
        const auto& it = records_.at(ids_[random_() % ids_.size()]);
        const bool is_answering =
            it.info.incarnation > 0 &&
            (it.info.status == member_status::alive || it.info.status == member_status::leaving);
        if (is_answering && it.info.id != except) {
            return &it;
        }
    }
    return nullptr;
}

} // namespace almondline::membership
