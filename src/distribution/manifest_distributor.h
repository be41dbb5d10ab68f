#pragma once

#include "distribution/internal/body_transfer.h"
#include "distribution/internal/pointer_watch.h"
#include "distribution/internal/text_history.h"
#include "membership/types/member.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondline::distribution {

struct distribution_config {
    std::string instance_id;
    std::string failure_domain;
    watch_config watch;
    int watchers_per_domain = 2;
    /// Announcements sent for a new version. With 8, a version that each receiver passes on misses
    /// one member in 3,000; the others learn of it by the probes.
    int fanout = 8;
    /// Until the first chunk arrives. Short, because a lost request or response delays the pull by
    /// the full timeout. Longer than max_wait, so that an accepted request is served in time.
    std::chrono::milliseconds request_timeout{400};
    std::chrono::milliseconds max_wait{200};        ///< of a request before it is served
    std::chrono::milliseconds busy_duration{100};   ///< no pulls from a peer that was busy
    std::chrono::milliseconds pull_timeout{1000};   ///< between two chunks
    std::chrono::milliseconds avoid_duration{3000}; ///< no pulls from a peer that sent a bad body
    std::chrono::milliseconds query_interval{500};  ///< of peers, until this instance is ready
    /// Peers queried at each interval, and announcements needed for readiness.
    int queried_peers = 3;
    /// Rate at which bodies are sent to all peers together. The default is half of 100 Mbit/s.
    double bytes_per_second = 6.25e6;
};

struct distribution_counters {
    std::uint64_t announcements_sent = 0;
    std::uint64_t requests_sent = 0;
    std::uint64_t chunks_sent = 0;
    std::uint64_t patches_applied = 0; ///< that came with an announcement
    std::uint64_t bytes_sent = 0;      ///< bodies and patches
    std::uint64_t bytes_unwanted =
        0; ///< body data received without a pull in progress from the sender
    std::uint64_t bad_bodies = 0;
    std::uint64_t pulls_finished = 0;
    std::uint64_t pulls_abandoned = 0;
    std::uint64_t pulls_postponed = 0;   ///< the peer was busy
    std::uint64_t transfers_refused = 0; ///< requests answered as busy
};

/// Functions of the instance that the distributor calls. All run on the control thread.
struct distribution_callbacks {
    /// Sends a message to a peer, best effort.
    std::function<void(const std::string& to, const message&)> send;
    /// Returns the live members including this instance, as member_table::live_members does.
    std::function<std::vector<membership::member>()> live_members;
    /// Reads the body that a pointer record refers to. Calls done once, asynchronously, with
    /// nullopt on failure.
    std::function<void(const get_result& pointer,
                       std::function<void(std::optional<manifest_copy>)> done)>
        read_body;
    /// Puts a text whose digest was verified in force. Calls done once, possibly before it returns,
    /// with false if the text is not valid. The next text is passed after that.
    std::function<void(std::shared_ptr<const manifest_copy> text, const std::string& source,
                       std::function<void(bool)> done)>
        apply;
};

/// Distributes each new version of the manifest from the store to all instances. In each failure
/// domain, watchers_per_domain instances watch the store; the others receive the manifest from
/// peers. The version in force at an instance never decreases.
///
/// What travels for a change is about as large as the change: a text is sent as a patch of the text
/// that the receiver holds, and a short patch with the announcement itself. A text is passed on as
/// soon as its digest is verified, before it is checked and put in force. If it turns out not to be
/// valid, the instance offers the text in force again, so that an invalid text reaches each
/// instance at most once.
class manifest_distributor {
public:
    /// The store and the clock must outlive the object.
    manifest_distributor(distribution_config config, distribution_callbacks callbacks,
                         key_value_store& store, const clock_source& clock, std::uint64_t seed);

    /// Must be called at least every 50 ms.
    void tick(steady_time now);
    void receive(const std::string& from, const message& received, steady_time now);
    /// Must be called for each probe and ack with the version in the sender's own member record.
    void on_peer_version(const std::string& id, std::int64_t version, steady_time now);

    /// Returns true once a manifest is held that is at least as new as the versions reported by the
    /// store or by the queried peers. A later version that was refused as invalid does not count.
    bool is_ready() const;
    bool is_watcher() const { return is_watcher_; }
    /// Returns the version in force, 0 for none.
    std::int64_t version() const { return held_ ? held_->version : 0; }
    std::uint64_t store_calls() const { return watch_.calls(); }
    const distribution_counters& counters() const { return counters_; }

private:
    struct candidate {
        std::int64_t version = 0;
        std::string digest;     ///< empty if only the version is known
        steady_time not_before; ///< no pull earlier, because the peer was busy
    };
    /// Version and digest of a text that was not valid.
    struct refused_text {
        std::int64_t version = 0;
        std::string digest;
    };

    void update_members(steady_time now);
    void on_record(const get_result& record, const std::function<void(bool)>& done);
    void on_announcement(const std::string& from, const announcement& announced, steady_time now);
    void on_request(const std::string& from, const body_request& request, steady_time now);
    void on_chunk(const std::string& from, const body_chunk& chunk, steady_time now);
    void finish_pull(manifest_copy copy, steady_time now);
    bool apply_patch(const std::string& from, const announcement& announced, steady_time now);
    void accept(manifest_copy copy, const std::string& source, const encoded_body* received);
    void check_latest();
    void finish_check(bool is_valid);
    std::int64_t latest_version() const { return history_.latest ? history_.latest->version : 0; }
    bool is_refused(std::int64_t version, const std::string& digest) const;
    bool is_avoided(const std::string& id, steady_time now) const;
    void note_bad_body(const std::string& from, const std::string& digest, steady_time now);
    void announce(const std::string& except);
    void add_candidate(const std::string& id, candidate offered, steady_time now);
    void start_pull(steady_time now);
    void check_pull(steady_time now);
    void resume_pull();
    void abandon_pull(const std::string& cause);
    void cancel_pull(const std::string& cause);
    void postpone_pull(steady_time now);
    void send_chunks(steady_time now);
    void query_peers(steady_time now);
    void send_announcement(const std::string& to);
    std::vector<std::string> random_peers(std::size_t count);

    distribution_config config_;
    distribution_callbacks callbacks_;
    const clock_source& clock_;
    std::mt19937_64 random_;
    pointer_watch watch_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< lets handlers detect destruction
    std::shared_ptr<const manifest_copy> held_;             ///< in force
    std::shared_ptr<const manifest_copy> checking_; ///< passed to apply, which has not finished
    std::string latest_source_;                     ///< of history_.latest, for logs
    steady_time check_started_;
    text_history history_; ///< its latest text is in force, being checked or to be checked
    refused_text refused_; ///< last text that was not valid for this instance
    std::vector<std::string> peers_;
    bool is_watcher_ = false;
    std::map<std::string, candidate> candidates_;
    std::map<std::string, steady_time> avoided_until_;
    std::optional<incoming_body> pull_;
    transfer_queue transfers_;
    std::set<std::string> announcing_peers_; ///< announced their version; used until ready
    std::int64_t highest_known_ = 0;
    bool was_ready_ = false;
    steady_time next_query_;
    steady_time next_member_update_;
    distribution_counters counters_;
};

} // namespace almondline::distribution
