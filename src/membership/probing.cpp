#include "membership/member_table.h"

#include "common/hash.h"

#include <algorithm>

namespace almondline::membership {

namespace {

// A process without a message for this long may itself be cut off; it declares nobody dead.
constexpr std::chrono::milliseconds isolation_limit{1500};
constexpr std::chrono::milliseconds request_lifetime{2000};
// Suspicions are passed on for this long at most.
constexpr std::chrono::seconds held_gossip{15};
constexpr std::size_t mass_suspicion = 8;
constexpr std::size_t max_watched = 32;
constexpr std::size_t max_relays = 256;
constexpr int probes_before_suspicion = 3;
constexpr int random_tries = 8;
// Far above max_updates, so that peers with another setting are understood.
constexpr std::size_t max_received_updates = 64;

} // namespace

std::vector<outgoing_message> member_table::tick(steady_time now)
{
    std::vector<outgoing_message> out;
    if (now - last_tick_ > config_.pause_limit) {
        handle_pause(now);
    }
    refill_credit(now);
    last_tick_ = now;
    expire_requests(now);
    probe_targets(now, out);
    probe_random(now, out);
    probe_unverified(now, out);
    expire_suspicions(now);
    gossip(now, out);
    forget_members(now);
    return out;
}

void member_table::refill_credit(steady_time now)
{
    const std::chrono::duration<double> spent = now - last_tick_;
    update_credit_ = std::min<double>(config_.update_burst,
                                      update_credit_ + spent.count() * config_.update_rate);
}

void member_table::handle_pause(steady_time now)
{
    for (auto& [id, it] : records_) {
        it.unanswered_since.reset();
        it.next_probe = now;
        if (it.info.status == member_status::suspect) {
            it.since = now;
        }
    }
    last_heard_ = now;
    // Updates sent during the pause are missed for good, so every member is asked.
    extra_probes_ = ids_.size();
    round_.clear();
}

std::vector<std::string> member_table::find_successors() const
{
    std::vector<std::string> found;
    int answering = 0;
    int silent = 0;
    auto it = ring_.upper_bound(stable_hash(self_.id));
    for (std::size_t i = 0; i < ring_.size() && answering < config_.successors; ++i, ++it) {
        if (it == ring_.end()) {
            it = ring_.begin();
        }
        const bool is_suspect = suspects_.count(it->second) > 0;
        // Suspects in between are probed too, so that they learn of the suspicion; a bounded number
        // of them, since a whole domain may be lost.
        if (is_suspect && ++silent > config_.successors) {
            continue;
        }
        answering += is_suspect ? 0 : 1;
        found.push_back(it->second);
    }
    return found;
}

const std::vector<std::string>& member_table::successors()
{
    if (successors_of_ != changes_) {
        successors_ = find_successors();
        successors_of_ = changes_;
    }
    return successors_;
}

std::chrono::milliseconds member_table::probe_interval() const
{
    const double fleets =
        static_cast<double>(ring_.size()) / static_cast<double>(config_.full_rate_members);
    const double factor = std::clamp(fleets, 1.0, config_.max_interval_factor);
    return std::chrono::duration_cast<std::chrono::milliseconds>(config_.probe_interval * factor);
}

void member_table::probe_targets(steady_time now, std::vector<outgoing_message>& out)
{
    auto targets = successors();
    for (const auto& id : watched_) {
        if (std::find(targets.begin(), targets.end(), id) == targets.end()) {
            targets.push_back(id);
        }
    }
    for (const auto& id : targets) {
        auto& target = records_.at(id);
        if (now >= target.next_probe) {
            probe_target(target, now, out);
        }
        const bool is_silent = target.unanswered_since &&
                               now - *target.unanswered_since >= config_.suspect_after &&
                               target.probes_sent >= probes_before_suspicion;
        if (is_silent && suspects_.count(id) == 0) {
            set_status(target, member_status::suspect, now);
            push_update(updates_, id, records_.size() + 1);
            next_gossip_ = now;
        }
    }
}

void member_table::probe_target(record& target, steady_time now, std::vector<outgoing_message>& out)
{
    if (now - target.next_probe > probe_interval()) {
        target.unanswered_since.reset(); // it was no target for a while
    }
    const auto& id = target.info.id;
    const bool is_suspect = target.info.status == member_status::suspect && watched_.count(id) == 0;
    if (!target.unanswered_since) {
        target.unanswered_since = now;
        target.probes_sent = 0;
    }
    else if (!is_suspect) {
        request_probes(target, now, out);
    }
    ++target.probes_sent;
    target.next_probe = now + (is_suspect ? probe_interval() : config_.retry_interval);
    out.push_back({id, make_message(id, false, ++last_nonce_)});
}

void member_table::request_probes(const record& target, steady_time now,
                                  std::vector<outgoing_message>& out)
{
    for (int i = 0; i < config_.indirect_probes; ++i) {
        const auto* relay = random_peer(target.info.id);
        if (relay == nullptr) {
            return;
        }
        auto message = make_message(relay->info.id, false, ++last_nonce_);
        message.indirect_target = target.info.id;
        pending_[last_nonce_] = {target.info.id, now + request_lifetime};
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
    for (int i = 0; i < probes && watched_.size() < max_watched; ++i) {
        if (round_.empty()) {
            round_ = ids_;
            std::shuffle(round_.begin(), round_.end(), random_);
        }
        const auto id = round_.back();
        round_.pop_back();
        const auto it = records_.find(id);
        if (it == records_.end() || it->second.info.incarnation == 0 || it->second.is_replaced) {
            continue;
        }
        const auto status = it->second.info.status;
        if (status == member_status::alive || status == member_status::leaving) {
            watched_.insert(id);
            it->second.next_probe = std::min(it->second.next_probe, now);
        }
        else {
            // A member wrongly held for dead learns of it and refutes.
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
        // In an order of its own, so that members started together don't all probe the same one.
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
        if (now - suspect.since < config_.dead_after) {
            continue;
        }
        // With many suspects the refutations queue up and arrive late.
        suspect.is_held = suspect.is_held || suspects_.size() > mass_suspicion;
        if (!may_declare_dead(suspect, now)) {
            suspect.is_held = true;
            continue;
        }
        if (suspect.is_held) {
            reprobe(suspect, now);
        }
        const bool is_tested = suspect.unanswered_since &&
                               now - *suspect.unanswered_since >= config_.suspect_after &&
                               suspect.probes_sent >= probes_before_suspicion;
        if (!suspect.is_held || (watched_.count(id) > 0 && is_tested)) {
            set_status(suspect, member_status::dead, now);
            push_update(updates_, id, records_.size() + 1);
        }
    }
}

// A lost domain is back, or part of it. Each of its members is probed anew before it is declared
// dead: it could neither answer nor refute before.
void member_table::reprobe(const record& suspect, steady_time now)
{
    const auto& id = suspect.info.id;
    if (watched_.size() >= max_watched || watched_.count(id) > 0) {
        return;
    }
    watched_.insert(id);
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
    // A lost domain is told from a dead member by an answer from another of its members after the
    // suspicion began.
    return name.empty() || name == self_.failure_domain || domain.members < 2 ||
           domain.last_heard > suspect.since;
}

bool member_table::is_isolated(steady_time now) const
{
    return now - last_heard_ > isolation_limit;
}

void member_table::expire_requests(steady_time now)
{
    std::erase_if(pending_, [&](const auto& it) { return it.second.expires <= now; });
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
        return out; // an earlier incarnation says nothing about the present one
    }
    on_heard(from, now);
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
        relays_[++last_nonce_] = {from, target, message.nonce, now + request_lifetime};
        out.push_back({target, make_message(target, false, last_nonce_)});
        return;
    }
    const auto status = records_.at(from).info.status;
    const bool is_doubted = status == member_status::suspect || status == member_status::dead;
    if (message.nonce != 0 || is_doubted) {
        out.push_back({from, make_message(from, message.nonce != 0, message.nonce)});
    }
}

void member_table::handle_ack(const std::string& from, const probe_message& message,
                              steady_time now, std::vector<outgoing_message>& out)
{
    const auto pending = pending_.find(message.nonce);
    if (!message.indirect_target.empty()) {
        if (pending != pending_.end() && pending->second.target == message.indirect_target) {
            on_heard(message.indirect_target, now);
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

void member_table::on_heard(const std::string& id, steady_time now)
{
    last_heard_ = now;
    const auto it = records_.find(id);
    if (it == records_.end()) {
        return;
    }
    it->second.unanswered_since.reset();
    it->second.next_probe = now + probe_interval();
    watched_.erase(id);
    domains_[it->second.info.failure_domain].last_heard = now;
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
    const auto credit = static_cast<std::size_t>(std::max(0.0, update_credit_));
    const auto limit = std::min(credit, config_.max_updates - updates.size());
    for (const auto& id : take_updates(updates_, limit)) {
        update_credit_ -= 1;
        const auto it = records_.find(id);
        // A suspicion that is held came to nothing yet. Spread after a lost domain is back, those
        // of one side would hide the members of the other from callers.
        if (it != records_.end() && id != to && it->second.info.incarnation > 0 &&
            !(it->second.is_held && last_tick_ - it->second.since > held_gossip)) {
            updates.push_back(it->second.info);
        }
    }
    if (is_ack && is_known && !peer->second.is_sampled) {
        peer->second.is_sampled = true;
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
    for (int i = 0; i < random_tries && !ids_.empty(); ++i) {
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
