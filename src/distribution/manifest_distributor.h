#pragma once

#include "distribution/internal/body_transfer.h"
#include "distribution/internal/pointer_watch.h"
#include "membership/types/member.h"

#include <chrono>
#include <cstdint>
#include <deque>
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
    int fanout = 4; ///< announcements of a new version
    /// Until the first chunk. Short, because a lost request or answer costs all of it.
    std::chrono::milliseconds request_timeout{400};
    std::chrono::milliseconds pull_timeout{1000}; ///< between two chunks
    std::chrono::milliseconds avoid_time{3000};   ///< a peer that sent a bad body
    std::chrono::milliseconds ask_interval{500};  ///< while without a manifest
    int asked_peers = 3;                          ///< answers needed before readiness
    /// Bounds the transfers: 20 MB/s at one tick each 50 ms, and what waits on a connection.
    int chunks_per_tick = 4;
    std::size_t max_transfers = 16;
};

struct distribution_counters {
    std::uint64_t announcements_sent = 0;
    std::uint64_t requests_sent = 0;
    std::uint64_t chunks_sent = 0;
    std::uint64_t bytes_sent = 0; ///< of bodies
    std::uint64_t bad_bodies = 0;
    std::uint64_t pulls_abandoned = 0;
};

/// What the distributor needs from the rest of the instance. All run on the control thread.
struct distribution_callbacks {
    /// Best effort.
    std::function<void(const std::string& to, const message&)> send;
    /// Live members with this instance, as member_table::live_members returns them.
    std::function<std::vector<membership::member>()> live_members;
    /// Reads the body that a record of the pointer names. Calls done once, later, with nothing on a
    /// failure.
    std::function<void(const get_result& pointer,
                       std::function<void(std::optional<manifest_copy>)> done)>
        read_body;
    /// Puts a complete text in force. The digest was checked. Returns false if it is not valid.
    std::function<bool(const manifest_copy&, const std::string& source)> apply;
};

/// Brings each new version of the manifest from the store to every instance. Two instances of each
/// failure domain watch the store; the others learn from peers. Versions only rise.
class manifest_distributor {
public:
    /// Store and clock must outlive it.
    manifest_distributor(distribution_config config, distribution_callbacks callbacks,
                         key_value_store& store, const clock_source& clock, std::uint64_t seed);

    /// To be called every 50 ms or more often.
    void tick(steady_time now);
    void receive(const std::string& from, const message& received, steady_time now);
    /// To be called with the version in the sender's own record of each probe and ack.
    void on_peer_version(const std::string& id, std::int64_t version, steady_time now);

    /// True once a manifest is held that is not older than what the store or the peers asked named.
    bool is_ready() const;
    bool is_watcher() const { return is_watcher_; }
    std::int64_t version() const { return held_ ? held_->version : 0; }
    std::uint64_t store_calls() const { return watch_.calls(); }
    const distribution_counters& counters() const { return counters_; }

private:
    struct candidate {
        std::int64_t version = 0;
        std::string digest; ///< empty if only the version is known
    };

    void read_members(steady_time now);
    void on_record(const get_result& record, const std::function<void(bool)>& done);
    void on_announcement(const std::string& from, const announcement& it, steady_time now);
    void on_request(const std::string& from, const body_request& it);
    void on_chunk(const std::string& from, const body_chunk& it, steady_time now);
    void finish_pull(const manifest_copy& copy, const std::string& from, steady_time now);
    bool accept(const manifest_copy& copy, const std::string& source);
    void announce(const std::string& except);
    void add_candidate(const std::string& id, candidate offered, steady_time now);
    void start_pull(steady_time now);
    void abandon_pull(const std::string& cause);
    void ask_peers(steady_time now);
    void send_announcement(const std::string& to);
    std::vector<std::string> random_peers(std::size_t count);

    distribution_config config_;
    distribution_callbacks callbacks_;
    const clock_source& clock_;
    std::mt19937_64 random_;
    pointer_watch watch_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< ends the handlers' use of this
    std::shared_ptr<const manifest_copy> held_;
    candidate refused_; ///< complete, but not valid for this instance
    std::vector<std::string> peers_;
    bool is_watcher_ = false;
    std::map<std::string, candidate> candidates_;
    std::map<std::string, steady_time> avoided_;
    std::optional<incoming_body> pull_;
    std::deque<outgoing_body> transfers_;
    std::set<std::string> answered_; ///< peers that said what they hold, until ready
    std::int64_t highest_known_ = 0;
    bool was_ready_ = false;
    steady_time next_ask_;
    steady_time next_members_;
    distribution_counters counters_;
};

} // namespace almondline::distribution
