#include "distribution/manifest_distributor.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>
#include <utility>

namespace almondline::distribution {

namespace {

// Members change rarely and the list can be long, so it isn't read on each tick.
constexpr std::chrono::milliseconds members_interval{500};
constexpr std::size_t max_candidates = 64;
constexpr std::size_t max_avoided = 64;

std::int64_t milliseconds_since(steady_time start, steady_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - start).count();
}

} // namespace

manifest_distributor::manifest_distributor(distribution_config config,
                                           distribution_callbacks callbacks, key_value_store& store,
                                           const clock_source& clock, std::uint64_t seed)
    : config_{std::move(config)}, callbacks_{std::move(callbacks)}, clock_{clock}, random_{seed},
      watch_{store, clock, config_.watch, seed + 1,
             [this](const get_result& record, const std::function<void(bool)>& done) {
                 on_record(record, done);
             }},
      transfers_{config_.bytes_per_second, config_.max_wait, {}, 0, clock.now()}
{
}

void manifest_distributor::tick(steady_time now)
{
    if (now >= next_member_update_) {
        next_member_update_ = now + members_interval;
        update_members(now);
    }
    watch_.tick(is_watcher_, now);
    query_peers(now);
    check_pull(now);
    start_pull(now);
    send_chunks(now);
}

void manifest_distributor::check_pull(steady_time now)
{
    if (!pull_ || now - pull_->last_progress < config_.request_timeout) {
        return;
    }
    if (pull_->chunks.empty() || now - pull_->last_progress >= config_.pull_timeout) {
        cancel_pull("timeout");
        return;
    }
    resume_pull();
}

/// Requests the chunks from the first missing one on, once for each chunk.
void manifest_distributor::resume_pull()
{
    const auto missing = first_missing_chunk(*pull_);
    if (missing == pull_->resumed_chunk) {
        return;
    }
    pull_->resumed_chunk = missing;
    ++counters_.requests_sent;
    callbacks_.send(pull_->peer,
                    body_request{pull_->wanted, pull_->base ? pull_->base->digest : std::string{},
                                 false, pull_->body.digest, missing});
}

void manifest_distributor::send_chunks(steady_time now)
{
    while (const auto next = take_chunk(transfers_, now)) {
        ++counters_.chunks_sent;
        counters_.bytes_sent += next->chunk.data.size();
        callbacks_.send(next->to, next->chunk);
    }
}

void manifest_distributor::update_members(steady_time now)
{
    std::vector<std::string> domain_members;
    peers_.clear();
    for (const auto& it : callbacks_.live_members()) {
        if (it.failure_domain == config_.failure_domain) {
            domain_members.push_back(it.id);
        }
        if (it.id != config_.instance_id) {
            peers_.push_back(it.id);
            on_peer_version(it.id, it.manifest_version, now);
        }
    }
    // Includes this instance even while it is leaving; otherwise its domain may have no watcher.
    if (std::find(domain_members.begin(), domain_members.end(), config_.instance_id) ==
        domain_members.end()) {
        domain_members.push_back(config_.instance_id);
    }
    const auto order = rendezvous_order("manifest-watch/" + config_.failure_domain, domain_members);
    const auto count =
        std::min(order.size(), static_cast<std::size_t>(config_.watchers_per_domain));
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    is_watcher_ = std::find(order.begin(), end, config_.instance_id) != end;
}

void manifest_distributor::on_record(const get_result& record,
                                     const std::function<void(bool)>& done)
{
    const std::weak_ptr<int> alive = alive_;
    callbacks_.read_body(record, [this, alive, done](std::optional<manifest_copy> copy) {
        if (alive.expired()) {
            return;
        }
        if (!copy) {
            done(false);
            return;
        }
        highest_known_ = std::max(highest_known_, copy->version);
        accept(std::move(*copy), "store", nullptr);
        done(true);
    });
}

void manifest_distributor::receive(const std::string& from, const message& received,
                                   steady_time now)
{
    if (const auto* announced = std::get_if<announcement>(&received)) {
        on_announcement(from, *announced, now);
    }
    else if (const auto* request = std::get_if<body_request>(&received)) {
        on_request(from, *request, now);
    }
    else if (const auto* chunk = std::get_if<body_chunk>(&received)) {
        on_chunk(from, *chunk, now);
    }
}

void manifest_distributor::on_announcement(const std::string& from, const announcement& announced,
                                           steady_time now)
{
    if (!was_ready_) {
        announcing_peers_.insert(from);
    }
    const bool is_applied = apply_patch(from, announced, now);
    if (!is_applied) {
        add_candidate(from, {announced.version, announced.digest, {}}, now);
    }
    if (announced.version < latest_version() && !announced.is_busy) {
        send_announcement(from);
    }
    const bool is_puller = pull_ && pull_->peer == from;
    if (is_puller && announced.is_busy) {
        postpone_pull(now);
    }
    else if (is_puller && announced.version < pull_->wanted) {
        abandon_pull("not held by the peer");
    }
    start_pull(now);
}

/// Applies the patch of an announcement if it is for the latest text. Returns false if there is no
/// such patch.
bool manifest_distributor::apply_patch(const std::string& from, const announcement& announced,
                                       steady_time now)
{
    const bool is_usable =
        !announced.patch.empty() && history_.latest &&
        announced.base_digest == history_.latest->digest && announced.version > latest_version() &&
        !is_refused(announced.version, announced.digest) && !is_avoided(from, now);
    if (!is_usable) {
        return false;
    }
    const encoded_body body{announced.version, announced.digest, announced.base_digest,
                            announced.patch};
    auto copy = decode_text(body, history_.latest.get());
    if (!copy) {
        note_bad_body(from, announced.digest, now);
        return false;
    }
    highest_known_ = std::max(highest_known_, announced.version);
    ++counters_.patches_applied;
    accept(std::move(*copy), from, &body);
    return true;
}

void manifest_distributor::on_peer_version(const std::string& id, std::int64_t version,
                                           steady_time now)
{
    add_candidate(id, {version, {}, {}}, now);
}

bool manifest_distributor::is_refused(std::int64_t version, const std::string& digest) const
{
    return version == refused_.version && (digest.empty() || digest == refused_.digest);
}

bool manifest_distributor::is_avoided(const std::string& id, steady_time now) const
{
    const auto it = avoided_until_.find(id);
    return it != avoided_until_.end() && now < it->second;
}

void manifest_distributor::add_candidate(const std::string& id, candidate offered, steady_time now)
{
    highest_known_ = std::max(highest_known_, offered.version);
    if (offered.version <= latest_version() || is_refused(offered.version, offered.digest) ||
        is_avoided(id, now)) {
        return;
    }
    const auto known = candidates_.find(id);
    if (known == candidates_.end() && candidates_.size() >= max_candidates) {
        return;
    }
    if (known == candidates_.end()) {
        candidates_[id] = std::move(offered);
    }
    else if (known->second.version <= offered.version) {
        offered.not_before = known->second.not_before;
        known->second = std::move(offered);
    }
}

void manifest_distributor::start_pull(steady_time now)
{
    if (pull_) {
        return;
    }
    std::int64_t highest = latest_version();
    std::vector<std::string> holders;
    for (const auto& [id, it] : candidates_) {
        if (now < it.not_before) {
            continue;
        }
        if (it.version > highest) {
            highest = it.version;
            holders.clear();
        }
        if (it.version == highest && highest > latest_version()) {
            holders.push_back(id);
        }
    }
    if (holders.empty()) {
        return;
    }
    const auto& peer = holders[random_() % holders.size()];
    pull_ = incoming_body{peer, highest, history_.latest, now, now, {}, {}, -1};
    ++counters_.requests_sent;
    callbacks_.send(peer, body_request{highest, pull_->base ? pull_->base->digest : std::string{}});
}

void manifest_distributor::abandon_pull(const std::string& cause)
{
    ++counters_.pulls_abandoned;
    log_event("distribution", log_level::info, "pull-abandoned",
              {{"peer", pull_->peer},
               {"version", pull_->wanted},
               {"cause", cause},
               {"received_chunks", received_chunks(*pull_)},
               {"duration_ms", milliseconds_since(pull_->started, clock_.now())}});
    candidates_.erase(pull_->peer); // its next probe makes it a candidate again
    pull_.reset();
}

/// Ends a pull that the peer does not serve now, and pulls from others meanwhile.
void manifest_distributor::postpone_pull(steady_time now)
{
    const auto busy = candidates_.find(pull_->peer);
    if (busy != candidates_.end()) {
        busy->second.not_before = now + config_.busy_duration;
    }
    ++counters_.pulls_postponed;
    pull_.reset();
}

/// Abandons a pull that the peer may still serve, and tells the peer.
void manifest_distributor::cancel_pull(const std::string& cause)
{
    callbacks_.send(pull_->peer, body_request{0, std::nullopt, true});
    abandon_pull(cause);
}

void manifest_distributor::on_request(const std::string& from, const body_request& request,
                                      steady_time now)
{
    if (request.is_cancelled) {
        cancel_transfers(transfers_, from);
        return;
    }
    if (request.version == 0 || request.version > latest_version()) {
        send_announcement(from);
        return;
    }
    cancel_transfers(transfers_, from);
    auto body = encode_text(history_, request.base_digest);
    if (add_transfer(transfers_, make_transfer(from, std::move(body), request))) {
        send_chunks(now);
        return;
    }
    ++counters_.transfers_refused;
    log_event(
        "distribution", log_level::debug, "transfer-refused",
        {{"peer", from}, {"version", request.version}, {"transfers", transfers_.transfers.size()}});
    callbacks_.send(from, announcement{latest_version(), history_.latest->digest, {}, {}, true});
}

void manifest_distributor::on_chunk(const std::string& from, const body_chunk& chunk,
                                    steady_time now)
{
    if (!pull_ || pull_->peer != from || is_stale(*pull_, chunk)) {
        counters_.bytes_unwanted += chunk.data.size(); // of an abandoned pull
        return;
    }
    const auto result = add_chunk(*pull_, chunk, now);
    if (result == chunk_result::incomplete) {
        // Chunks arrive in order, so one before this was lost.
        if (chunk.chunk > first_missing_chunk(*pull_)) {
            resume_pull();
        }
        return;
    }
    if (result == chunk_result::complete) {
        if (auto copy = decode_body(*pull_)) {
            finish_pull(std::move(*copy), now);
            return;
        }
    }
    note_bad_body(from, chunk.digest, now);
    cancel_pull("bad body");
    start_pull(now);
}

void manifest_distributor::note_bad_body(const std::string& from, const std::string& digest,
                                         steady_time now)
{
    ++counters_.bad_bodies;
    log_event("distribution", log_level::warning, "bad-body", {{"peer", from}, {"digest", digest}});
    if (avoided_until_.size() >= max_avoided) {
        avoided_until_.clear();
    }
    avoided_until_[from] = now + config_.avoid_duration;
    candidates_.erase(from);
}

void manifest_distributor::finish_pull(manifest_copy copy, steady_time now)
{
    const auto pull = std::move(*pull_);
    pull_.reset();
    ++counters_.pulls_finished;
    log_event("distribution", log_level::info, "pull-finished",
              {{"peer", pull.peer},
               {"version", copy.version},
               {"bytes", pull.body.data.size()},
               {"patch", pull.body.base_digest && !pull.body.base_digest->empty()},
               {"duration_ms", milliseconds_since(pull.started, now)}});
    const auto offered = candidates_.find(pull.peer);
    const bool has_other_digest = offered != candidates_.end() && !offered->second.digest.empty() &&
                                  offered->second.version == copy.version &&
                                  offered->second.digest != copy.digest;
    candidates_.erase(pull.peer);
    if (has_other_digest) {
        note_bad_body(pull.peer, copy.digest, now);
    }
    else {
        accept(std::move(copy), pull.peer, &pull.body);
    }
    start_pull(now);
}

/// Makes a verified text the latest one, passes it on and has it checked.
void manifest_distributor::accept(manifest_copy copy, const std::string& source,
                                  const encoded_body* received)
{
    const auto version = copy.version;
    if (version <= latest_version() || is_refused(version, copy.digest)) {
        return;
    }
    add_text(history_, std::make_shared<const manifest_copy>(std::move(copy)), received);
    latest_source_ = source;
    if (pull_ && pull_->wanted <= version) {
        cancel_pull("received from another peer");
    }
    std::erase_if(candidates_, [&](const auto& it) { return it.second.version <= version; });
    announce(source);
    check_latest();
}

/// Has the latest text checked unless a check is in progress. Texts that were replaced meanwhile
/// are skipped, so that an instance that checks slowly is at most one check behind.
void manifest_distributor::check_latest()
{
    if (checking_ || !history_.latest || history_.latest == held_) {
        return;
    }
    checking_ = history_.latest;
    check_started_ = clock_.now();
    const std::weak_ptr<int> alive = alive_;
    callbacks_.apply(checking_, latest_source_, [this, alive](bool is_valid) {
        if (!alive.expired()) {
            finish_check(is_valid);
        }
    });
}

void manifest_distributor::finish_check(bool is_valid)
{
    const auto checked = std::exchange(checking_, nullptr);
    log_event("distribution", log_level::info, "manifest-checked",
              {{"version", checked->version},
               {"valid", is_valid},
               {"duration_ms", milliseconds_since(check_started_, clock_.now())}});
    if (is_valid) {
        held_ = checked;
    }
    else {
        log_event("distribution", log_level::error, "manifest-refused",
                  {{"version", checked->version}, {"digest", checked->digest}});
        refused_ = {checked->version, checked->digest};
        std::erase_if(candidates_, [&](const auto& it) {
            return is_refused(it.second.version, it.second.digest);
        });
        if (history_.latest == checked) {
            revert_text(history_, held_);
        }
    }
    check_latest();
}

void manifest_distributor::announce(const std::string& except)
{
    for (const auto& id : random_peers(static_cast<std::size_t>(config_.fanout) + 1)) {
        if (id != except) {
            send_announcement(id);
        }
    }
}

void manifest_distributor::send_announcement(const std::string& to)
{
    ++counters_.announcements_sent;
    announcement content{latest_version(), {}, {}, {}, false};
    if (history_.latest) {
        content.digest = history_.latest->digest;
    }
    if (const auto* step = short_step(history_)) {
        content.base_digest = step->base_digest;
        content.patch = step->patch;
    }
    counters_.bytes_sent += content.patch.size();
    callbacks_.send(to, content);
}

std::vector<std::string> manifest_distributor::random_peers(std::size_t count)
{
    std::vector<std::string> chosen;
    std::sample(peers_.begin(), peers_.end(), std::back_inserter(chosen), count, random_);
    return chosen;
}

void manifest_distributor::query_peers(steady_time now)
{
    was_ready_ = was_ready_ || is_ready();
    if (was_ready_) {
        announcing_peers_.clear();
        return;
    }
    if (now < next_query_) {
        return;
    }
    next_query_ = now + config_.query_interval;
    for (const auto& id : random_peers(static_cast<std::size_t>(config_.queried_peers))) {
        ++counters_.requests_sent;
        callbacks_.send(id, body_request{0});
    }
}

bool manifest_distributor::is_ready() const
{
    if (was_ready_) {
        return true;
    }
    if (!held_ || (held_->version < highest_known_ && refused_.version != highest_known_)) {
        return false;
    }
    const auto needed = std::min(peers_.size(), static_cast<std::size_t>(config_.queried_peers));
    return watch_.is_read() || announcing_peers_.size() >= needed;
}

} // namespace almondline::distribution
