#include "idempotency/range_owner.h"

#include "common/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace almondline::idempotency {

namespace {

std::chrono::minutes minutes_of(system_time wall)
{
    return std::chrono::duration_cast<std::chrono::minutes>(wall.time_since_epoch());
}

} // namespace

range_owner::range_owner(key_value_store& store, const clock_source& clock,
                         const owner_config& config)
    : store_{store}, clock_{clock}, config_{config}
{
}

void range_owner::submit(claim_request request, answer_handler handler, steady_time now)
{
    pending_claim claim{std::move(request), std::move(handler), now + config_.claim_timeout, false,
                        0};
    if (!is_recordable(claim.request)) {
        answer(claim, claim_status::refused, "malformed claim");
        return;
    }
    auto& range = ranges_[range_of(claim.request.key_hash)];
    if (range.waiting.size() >= config_.max_waiting) {
        answer(claim, claim_status::refused, "too many claims wait for the key range");
        return;
    }
    range.waiting.push_back(std::move(claim));
}

void range_owner::tick(steady_time now)
{
    for (auto it = ranges_.begin(); it != ranges_.end(); ++it) {
        advance(it->first, now);
    }
}

void range_owner::advance(int index, steady_time now)
{
    auto& range = ranges_[index];
    if (range.is_busy) {
        return;
    }
    expire(range, now);
    if (range.is_loaded && range.era != store_.era()) {
        // The store may have lost claims that it acknowledged.
        range.is_loaded = false;
        range.is_reload_due = true;
        range.next_call = std::max(range.next_call, now + index * config_.restore_interval);
    }
    const bool has_work = !range.waiting.empty() || range.is_reload_due || range.has_lost_claims;
    if (!has_work || now < range.next_call) {
        return;
    }
    if (range.is_loaded) {
        write(index, now);
    }
    else {
        load(index);
    }
}

void range_owner::expire(range_state& range, steady_time now)
{
    const auto rest = std::stable_partition(range.waiting.begin(), range.waiting.end(),
                                            [&](const auto& it) { return now < it.deadline; });
    const std::vector<pending_claim> expired{std::make_move_iterator(rest),
                                             std::make_move_iterator(range.waiting.end())};
    range.waiting.erase(rest, range.waiting.end());
    refuse(expired, "the claim was not recorded in time");
}

void range_owner::load(int index)
{
    ranges_[index].is_busy = true;
    ++counters_.reads;
    const std::weak_ptr<int> alive = alive_;
    store_.get(range_key(index), [this, alive, index](const get_result& result) {
        if (!alive.expired()) {
            on_loaded(index, result);
        }
    });
}

void range_owner::on_loaded(int index, const get_result& result)
{
    auto& range = ranges_[index];
    range.is_busy = false;
    const bool is_found = result.status == get_status::found;
    if (!is_found && result.status != get_status::missing) {
        range.next_call = clock_.now() + (range.waiting.empty() ? config_.idle_reload_interval
                                                                : config_.reload_interval);
        // Refuses all claims except unconfirmed ones, which a later read may still decide.
        const auto rest = std::stable_partition(range.waiting.begin(), range.waiting.end(),
                                                [](const auto& it) { return it.is_unconfirmed; });
        const std::vector<pending_claim> refused{std::make_move_iterator(rest),
                                                 std::make_move_iterator(range.waiting.end())};
        range.waiting.erase(rest, range.waiting.end());
        refuse(refused, "the store can't be read: " + result.message);
        return;
    }
    claim_record stored;
    if (is_found && !parse_claim_record(result.value, stored)) {
        log_event("idempotency", log_level::error, "bad-claim-record",
                  {{"key", range_key(index)}, {"revision", result.revision}});
        refuse(std::exchange(range.waiting, {}), "the record of the key range can't be read");
        return;
    }
    range.revision = is_found ? result.revision : 0;
    range.era = result.era;
    range.is_loaded = true;
    range.is_reload_due = false;
    restore_claims(index, std::move(stored));
    for (auto& it : range.waiting) {
        // A write that expected another revision can no longer take effect.
        it.is_unconfirmed = it.is_unconfirmed && it.expected_revision == range.revision;
    }
    advance(index, clock_.now());
}

/// Takes over the record of the store, with the claims that it acknowledged earlier and has lost
/// since: it returned from an older copy, or another owner had not seen them.
void range_owner::restore_claims(int index, claim_record stored)
{
    auto& range = ranges_[index];
    auto known = std::exchange(range.record, std::move(stored));
    drop_claims_before(known, minutes_of(clock_.wall()) - config_.retention);
    std::size_t restored = 0;
    for (auto& [hash, claim] : known.claims) {
        restored += range.record.claims.try_emplace(hash, std::move(claim)).second ? 1 : 0;
    }
    range.has_lost_claims = restored > 0;
    if (restored > 0) {
        counters_.restored_claims += restored;
        log_event("idempotency", log_level::warning, "claims-restored",
                  {{"key", range_key(index)}, {"claims", restored}, {"era", range.era}});
    }
}

void range_owner::resolve_claims(range_state& range)
{
    const auto now = minutes_of(clock_.wall());
    drop_claims_before(range.record, now - config_.retention);
    auto size = text_size(range.record);
    std::vector<pending_claim> deferred;
    for (auto& it : std::exchange(range.waiting, {})) {
        const auto& request = it.request;
        const auto known = range.record.claims.find(request.key_hash);
        if (known == range.record.claims.end()) {
            // Upper bound for one claim with a new holder; text_size counts each holder only once.
            size += 100 + request.claim_id.size() + request.holder.size();
            if (size > config_.max_record_bytes) {
                refuse_one(it, "the key range is full");
                continue;
            }
            range.record.claims[request.key_hash] = {request.claim_id, request.holder,
                                                     request.holder_incarnation, now};
            range.writing.push_back(std::move(it));
            continue;
        }
        const bool is_being_written =
            std::any_of(range.writing.begin(), range.writing.end(),
                        [&](const auto& w) { return w.request.key_hash == request.key_hash; });
        if (is_being_written) {
            deferred.push_back(std::move(it)); // decided by the outcome of the write
        }
        else if (known->second.claim_id == request.claim_id) {
            answer(it, claim_status::claimed, {});
        }
        else {
            it.answer({request.claim_id, claim_status::duplicate, known->second.holder,
                       known->second.holder_incarnation, "the key was claimed before",
                       known->second.claim_id});
        }
    }
    range.waiting.insert(range.waiting.begin(), std::make_move_iterator(deferred.begin()),
                         std::make_move_iterator(deferred.end()));
}

void range_owner::write(int index, steady_time now)
{
    auto& range = ranges_[index];
    resolve_claims(range);
    if (range.writing.empty() && !range.has_lost_claims) {
        return;
    }
    const auto text = to_text(range.record);
    const std::chrono::milliseconds pause{
        static_cast<std::int64_t>(text.size() * 1000 / config_.bytes_per_second)};
    range.next_call = now + std::max(config_.write_interval, pause);
    range.is_busy = true;
    ++counters_.writes;
    const std::weak_ptr<int> alive = alive_;
    store_.compare_and_swap(range_key(index), range.revision, text, {},
                            [this, alive, index](const put_result& result) {
                                if (!alive.expired()) {
                                    on_written(index, result);
                                }
                            });
}

void range_owner::on_written(int index, const put_result& result)
{
    auto& range = ranges_[index];
    range.is_busy = false;
    auto written = std::exchange(range.writing, {});
    if (result.status == put_status::done) {
        range.revision = result.revision;
        range.has_lost_claims = false;
        counters_.claims += written.size();
        for (const auto& it : written) {
            answer(it, claim_status::claimed, {});
        }
        return;
    }
    for (const auto& it : written) {
        range.record.claims.erase(it.request.key_hash); // not known to be written
    }
    range.is_loaded = false;
    range.is_reload_due = range.has_lost_claims;
    if (result.status == put_status::refused) {
        refuse(written, "the store refused the write: " + result.message);
        if (range.waiting.empty()) {
            range.next_call = clock_.now() + config_.idle_reload_interval;
        }
        return;
    }
    if (result.status == put_status::unknown) {
        ++counters_.lost_answers;
        for (auto& it : written) {
            it.is_unconfirmed = true;
            it.expected_revision = range.revision;
        }
    }
    else {
        ++counters_.conflicts;
    }
    // Reads the record again and decides the claims anew, because another owner or the lost write
    // itself may have changed it. A repeated write expects the revision that the lost one expected,
    // so that at most one of them succeeds.
    range.next_call = clock_.now();
    range.waiting.insert(range.waiting.begin(), std::make_move_iterator(written.begin()),
                         std::make_move_iterator(written.end()));
}

void range_owner::refuse(const std::vector<pending_claim>& claims, const std::string& message)
{
    for (const auto& it : claims) {
        refuse_one(it, message);
    }
}

void range_owner::refuse_one(const pending_claim& claim, const std::string& message)
{
    answer(claim, claim.is_unconfirmed ? claim_status::unknown : claim_status::refused, message);
}

void range_owner::answer(const pending_claim& claim, claim_status status,
                         const std::string& message)
{
    claim.answer({claim.request.claim_id,
                  status,
                  claim.request.holder,
                  claim.request.holder_incarnation,
                  message,
                  {}});
}

} // namespace almondline::idempotency
