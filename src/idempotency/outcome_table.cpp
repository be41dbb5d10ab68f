#include "idempotency/outcome_table.h"

#include "common/hash.h"

namespace almondline::idempotency {

namespace {

std::string id_of(const std::string& account, const std::string& key_hash)
{
    return account + '\n' + key_hash;
}

} // namespace

begin_result outcome_table::begin(const std::string& account, const std::string& key_hash,
                                  const std::string& body_hash, bool must_keep, waiter on_outcome,
                                  steady_time now)
{
    expire(now);
    const auto id = id_of(account, key_hash);
    const auto it = entries_.find(id);
    if (it == entries_.end()) {
        if (entries_.size() >= limits_.max_entries && !evict_oldest()) {
            return {begin_status::full, {}, {}};
        }
        entry added;
        added.body_hash = body_hash;
        added.must_keep = must_keep;
        added.serial = ++last_serial_;
        added.claim_id = random_id();
        begin_result started{begin_status::started, added.claim_id, {}};
        entries_.emplace(id, std::move(added));
        return started;
    }
    auto& known = it->second;
    if (known.body_hash != body_hash) {
        return {begin_status::other_body, {}, {}};
    }
    if (known.state == entry_state::finished) {
        return {begin_status::finished, {}, known.result};
    }
    if (known.state == entry_state::abandoned) {
        known.state = entry_state::in_progress;
        known.serial = ++last_serial_;
        known.must_keep = must_keep;
        return {begin_status::started, known.claim_id, {}};
    }
    if (known.waiters.size() >= limits_.max_joined) {
        return {begin_status::full, {}, {}};
    }
    known.waiters.push_back(std::move(on_outcome));
    return {begin_status::joined, {}, {}};
}

void outcome_table::finish(const std::string& account, const std::string& key_hash, outcome result,
                           steady_time now)
{
    end(id_of(account, key_hash), entry_state::finished, std::move(result), now);
}

void outcome_table::abandon(const std::string& account, const std::string& key_hash,
                            const outcome& result, steady_time now)
{
    end(id_of(account, key_hash), entry_state::abandoned, result, now);
}

void outcome_table::end(const std::string& id, entry_state end_state, outcome result,
                        steady_time now)
{
    const auto it = entries_.find(id);
    if (it == entries_.end() || it->second.state != entry_state::in_progress) {
        return;
    }
    auto& ended = it->second;
    const auto waiters = std::exchange(ended.waiters, {});
    const outcome answer = result;
    ended.state = end_state;
    ended.result = std::move(result);
    ended.expires = now + (ended.must_keep ? limits_.kept_retention : limits_.retention);
    if (end_state == entry_state::abandoned || ended.result.body.size() > limits_.max_one_body) {
        ended.result.body.clear();
        ended.result.is_body_kept = false;
    }
    body_bytes_ += ended.result.body.size();
    const ended_entry queued{id, ended.serial, ended.expires};
    ended_[ended.must_keep ? 1 : 0].push_back(queued);
    if (!ended.result.body.empty()) {
        bodies_.push_back(queued);
    }
    // Nothing was dispatched for an abandoned request, so evicting its entry is harmless.
    if (!ended.must_keep || end_state == entry_state::abandoned) {
        droppable_.push_back(queued);
    }
    drop_bodies();
    for (const auto& waiting : waiters) {
        waiting(answer);
    }
}

outcome_table::lookup_result outcome_table::lookup(const std::string& account,
                                                   const std::string& key_hash,
                                                   const std::string& body_hash,
                                                   const std::string& claim_id) const
{
    const auto it = entries_.find(id_of(account, key_hash));
    if (it == entries_.end() || it->second.claim_id != claim_id) {
        return {};
    }
    const auto& known = it->second;
    if (known.body_hash != body_hash) {
        return {true, false, true, {}};
    }
    return {true, known.state != entry_state::in_progress, false, known.result};
}

void outcome_table::drop_bodies()
{
    while (body_bytes_ > limits_.max_body_bytes && !bodies_.empty()) {
        const auto oldest = bodies_.front();
        bodies_.pop_front();
        const auto it = entries_.find(oldest.id);
        if (it == entries_.end() || it->second.serial != oldest.serial) {
            continue;
        }
        body_bytes_ -= it->second.result.body.size();
        it->second.result.body = {};
        it->second.result.is_body_kept = false;
    }
}

bool outcome_table::evict_oldest()
{
    while (!droppable_.empty()) {
        const auto oldest = droppable_.front();
        droppable_.pop_front();
        const auto it = entries_.find(oldest.id);
        if (it != entries_.end() && it->second.serial == oldest.serial) {
            erase(oldest.id);
            return true;
        }
    }
    return false;
}

void outcome_table::expire(steady_time now)
{
    const auto is_over = [&](const ended_entry& it) {
        const auto known = entries_.find(it.id);
        return it.expires <= now || known == entries_.end() || known->second.serial != it.serial;
    };
    for (auto& queue : ended_) {
        while (!queue.empty() && is_over(queue.front())) {
            const auto it = entries_.find(queue.front().id);
            if (it != entries_.end() && it->second.serial == queue.front().serial) {
                erase(queue.front().id);
            }
            queue.pop_front();
        }
    }
    for (auto* queue : {&bodies_, &droppable_}) {
        while (!queue->empty() && is_over(queue->front())) {
            queue->pop_front();
        }
    }
}

void outcome_table::erase(const std::string& id)
{
    const auto it = entries_.find(id);
    body_bytes_ -= it->second.result.body.size();
    entries_.erase(it);
}

} // namespace almondline::idempotency
