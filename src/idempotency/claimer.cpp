#include "idempotency/claimer.h"

#include "common/hash.h"

#include <utility>

namespace almondline::idempotency {

std::string owner_of(int range, std::vector<std::string> live_members)
{
    const auto order = rendezvous_order(range_key(range), std::move(live_members));
    return order.empty() ? std::string{} : order.front();
}

claimer::claimer(claimer_config config, peer_callbacks callbacks, range_owner& local)
    : config_{std::move(config)}, callbacks_{std::move(callbacks)}, local_{local}
{
}

void claimer::claim(const std::string& claim_id, const std::string& account,
                    const std::string& key_hash, const std::string& request_id, handler done,
                    steady_time now)
{
    claim_request request{claim_id,  account, key_hash, config_.instance_id, config_.incarnation,
                          request_id};
    pending_[claim_id] = {request, std::move(done), now + config_.resend_interval,
                          now + config_.timeout};
    send(request, now);
}

const std::string& claimer::find_owner(int range, steady_time now)
{
    if (now >= owners_expire_) {
        owners_.clear();
        owners_expire_ = now + config_.owner_cache_lifetime;
    }
    auto it = owners_.find(range);
    if (it == owners_.end()) {
        it = owners_.emplace(range, owner_of(range, callbacks_.live_members())).first;
    }
    return it->second;
}

void claimer::send(const claim_request& request, steady_time now)
{
    const auto owner = find_owner(range_of(request.key_hash), now);
    if (owner.empty() || owner == config_.instance_id) {
        local_.submit(
            request, [this](const claim_answer& answer) { on_answer(answer); }, now);
        return;
    }
    callbacks_.send(owner, request);
}

void claimer::on_answer(const claim_answer& answer)
{
    const auto it = pending_.find(answer.claim_id);
    if (it == pending_.end()) {
        return; // timed out, or already answered by an earlier owner
    }
    const auto done = std::move(it->second.done);
    pending_.erase(it);
    done(answer);
}

void claimer::tick(steady_time now)
{
    std::vector<claim_request> to_resend;
    std::vector<claim_answer> timed_out;
    for (auto& [id, it] : pending_) {
        if (now >= it.deadline) {
            timed_out.push_back({id,
                                 claim_status::unknown,
                                 config_.instance_id,
                                 config_.incarnation,
                                 "no owner of the key range answered",
                                 {}});
        }
        else if (now >= it.next_send) {
            it.next_send = now + config_.resend_interval;
            to_resend.push_back(it.request);
        }
    }
    for (const auto& it : timed_out) {
        on_answer(it);
    }
    for (const auto& it : to_resend) {
        send(it, now);
    }
}

} // namespace almondline::idempotency
