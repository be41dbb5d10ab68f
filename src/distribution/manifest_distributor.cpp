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
             }}
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
    if (pull_) {
        const auto limit = pull_->chunks.empty() ? config_.request_timeout : config_.pull_timeout;
        if (now - pull_->last_progress >= limit) {
            abandon_pull("timeout");
        }
    }
    start_pull(now);
    for (int i = 0; i < config_.chunks_per_tick && !transfers_.empty(); ++i) {
        const auto next = take_chunk(transfers_);
        ++counters_.chunks_sent;
        counters_.bytes_sent += next.chunk.data.size();
        callbacks_.send(next.to, next.chunk);
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
        accept(*copy, "store");
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
        on_request(from, *request);
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
    add_candidate(from, {announced.version, announced.digest}, now);
    if (announced.version < version()) {
        send_announcement(from);
    }
    if (pull_ && pull_->peer == from && announced.version < pull_->wanted) {
        abandon_pull("not held by the peer");
    }
    start_pull(now);
}

void manifest_distributor::on_peer_version(const std::string& id, std::int64_t version,
                                           steady_time now)
{
    add_candidate(id, {version, {}}, now);
}

void manifest_distributor::add_candidate(const std::string& id, candidate offered, steady_time now)
{
    highest_known_ = std::max(highest_known_, offered.version);
    const bool is_refused = offered.version == refused_.version &&
                            (offered.digest.empty() || offered.digest == refused_.digest);
    const auto avoided = avoided_until_.find(id);
    const bool is_avoided = avoided != avoided_until_.end() && now < avoided->second;
    if (offered.version <= version() || is_refused || is_avoided) {
        return;
    }
    const auto known = candidates_.find(id);
    if (known == candidates_.end() && candidates_.size() >= max_candidates) {
        return;
    }
    if (known == candidates_.end() || known->second.version <= offered.version) {
        candidates_[id] = std::move(offered);
    }
}

void manifest_distributor::start_pull(steady_time now)
{
    if (pull_) {
        return;
    }
    std::int64_t highest = version();
    std::vector<std::string> holders;
    for (const auto& [id, it] : candidates_) {
        if (it.version > highest) {
            highest = it.version;
            holders.clear();
        }
        if (it.version == highest && highest > version()) {
            holders.push_back(id);
        }
    }
    if (holders.empty()) {
        return;
    }
    const auto& peer = holders[random_() % holders.size()];
    pull_ = incoming_body{peer, highest, 0, {}, {}, now, now};
    ++counters_.requests_sent;
    callbacks_.send(peer, body_request{highest});
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

void manifest_distributor::on_request(const std::string& from, const body_request& request)
{
    if (request.version == 0 || request.version > version()) {
        send_announcement(from);
        return;
    }
    std::erase_if(transfers_, [&](const auto& t) { return t.peer == from; });
    if (transfers_.size() < config_.max_transfers) {
        transfers_.push_back({from, held_, 0});
        return;
    }
    ++counters_.transfers_refused;
    log_event("distribution", log_level::info, "transfer-refused",
              {{"peer", from}, {"version", request.version}, {"transfers", transfers_.size()}});
}

void manifest_distributor::on_chunk(const std::string& from, const body_chunk& chunk,
                                    steady_time now)
{
    if (!pull_ || pull_->peer != from) {
        counters_.bytes_unwanted += chunk.data.size(); // of an abandoned pull
        return;
    }
    const auto result = add_chunk(*pull_, chunk, now);
    if (result == chunk_result::incomplete) {
        return;
    }
    const auto copy = join_chunks(*pull_);
    const bool is_intact = result == chunk_result::complete && sha256_hex(copy.text) == copy.digest;
    if (is_intact) {
        finish_pull(copy, from, now);
        return;
    }
    ++counters_.bad_bodies;
    log_event("distribution", log_level::warning, "bad-body",
              {{"peer", from}, {"version", chunk.version}, {"digest", chunk.digest}});
    if (avoided_until_.size() >= max_avoided) {
        avoided_until_.clear();
    }
    avoided_until_[from] = now + config_.avoid_duration;
    abandon_pull("bad body");
    start_pull(now);
}

void manifest_distributor::finish_pull(const manifest_copy& copy, const std::string& from,
                                       steady_time now)
{
    const auto offered = candidates_.find(from);
    ++counters_.pulls_finished;
    log_event("distribution", log_level::info, "pull-finished",
              {{"peer", from},
               {"version", copy.version},
               {"bytes", copy.text.size()},
               {"duration_ms", milliseconds_since(pull_->started, now)}});
    const bool has_other_digest = offered != candidates_.end() && !offered->second.digest.empty() &&
                                  offered->second.version == copy.version &&
                                  offered->second.digest != copy.digest;
    candidates_.erase(from);
    pull_.reset();
    if (has_other_digest) {
        ++counters_.bad_bodies;
        avoided_until_[from] = now + config_.avoid_duration;
    }
    else {
        accept(copy, from);
    }
    start_pull(now);
}

bool manifest_distributor::accept(const manifest_copy& copy, const std::string& source)
{
    if (copy.version <= version()) {
        return false;
    }
    const auto started = clock_.now();
    const bool is_applied = callbacks_.apply(copy, source);
    log_event("distribution", log_level::info, "manifest-checked",
              {{"version", copy.version},
               {"source", source},
               {"applied", is_applied},
               {"duration_ms", milliseconds_since(started, clock_.now())}});
    if (!is_applied) {
        log_event("distribution", log_level::error, "manifest-refused",
                  {{"version", copy.version}, {"source", source}});
        refused_ = {copy.version, copy.digest};
        std::erase_if(candidates_,
                      [&](const auto& it) { return it.second.version == copy.version; });
        return false;
    }
    held_ = std::make_shared<const manifest_copy>(copy);
    if (pull_ && pull_->wanted <= copy.version) {
        pull_.reset();
    }
    std::erase_if(candidates_, [&](const auto& it) { return it.second.version <= copy.version; });
    announce(source);
    return true;
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
    callbacks_.send(to, announcement{version(), held_ ? held_->digest : std::string{}});
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
