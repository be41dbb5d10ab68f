#pragma once

#include "common/clock.h"
#include "fleet/replica_registry.h"
#include "store/instance_list.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace almondline::wire {
class envelope;
}

/// Follows the platform's list of backend servers: reads it once, then watches it, and asks other
/// instances for it while it can't be reached. In a large fleet only some instances watch it, and
/// the others ask these for changes.
namespace almondline::fleet {

struct server_list_settings {
    /// Between two calls while the list changes or fails. Changes in between come together.
    std::chrono::milliseconds call_interval{500};
    /// Between two calls until the list was read once.
    std::chrono::milliseconds first_interval{200};
    /// From the first read to the first watch. By then a process in a large fleet knows which
    /// instances watch the list for it.
    std::chrono::milliseconds first_watch_delay{1000};
    /// How long one watch waits.
    std::chrono::milliseconds watch_wait{8000};
    /// Between two requests to other instances while calls fail.
    std::chrono::milliseconds peer_interval{500};
    /// Between two requests to the instances that watch the list for this one.
    std::chrono::milliseconds follow_interval{1000};
    /// Without an answer of theirs for this long the list is read from the service.
    std::chrono::milliseconds follow_timeout{2500};
    /// Without an answer of the list's service for this long there was an outage, in which entries
    /// may have lapsed.
    std::chrono::milliseconds outage_after{1500};
};

struct server_list_callbacks {
    std::function<void()> on_change;
    std::function<std::vector<std::string>()> live_peers;
    /// Instances that watch the list for this one. Empty or not set: it watches the list itself.
    std::function<std::vector<std::string>()> watchers;
    std::function<void(const std::string& to, const wire::envelope& message)> send;
};

/// Runs on the control thread.
class server_list {
public:
    /// The source and the clock must outlive it.
    server_list(watched_instance_list& source, const clock_source& clock,
                const server_list_settings& settings, server_list_callbacks callbacks);

    void tick(steady_time now);
    /// Takes a message of another instance; false if it is of another kind.
    bool handle(const std::string& from, const wire::envelope& message, steady_time now);

    /// A server said itself that it leaves, in an answer to a request.
    void note_leaving(const std::string& id);
    /// A server asked for no request of this instance until then.
    void note_backoff(const std::string& id, steady_time until);

    /// True once the list was read, by this instance or another one.
    bool is_known() const { return last_success_ != steady_time{}; }
    const replica_registry& servers() const { return registry_; }

private:
    void start_call(steady_time now);
    void start_read();
    void start_watch(steady_time now);
    bool is_watch_doubtful() const;
    void give_up_watch(steady_time now);
    void take_read(const instance_list_result& result);
    void take_watch(const instance_watch_result& result);
    void note_success(steady_time now);
    void note_failure(const std::string& cause);
    void ask_peer(steady_time now);
    bool follow(const std::vector<std::string>& watchers, steady_time now);
    void send_request(const std::vector<std::string>& peers);
    void answer_peer(const std::string& to, std::int64_t known_revision, steady_time now);
    void take_reply(const std::string& from, const wire::envelope& message, steady_time now);
    std::chrono::milliseconds retry_interval() const;

    watched_instance_list& source_;
    const clock_source& clock_;
    server_list_settings settings_;
    server_list_callbacks callbacks_;
    replica_registry registry_;
    std::uint64_t watched_to_ = 0; ///< revision that the next watch starts after
    std::uint64_t call_ = 0;       ///< number of the latest call; others are given up
    bool is_calling_ = false;
    bool is_watching_ = false;
    bool needs_read_ = true;  ///< else the list is watched
    bool is_partial_ = false; ///< removals were left out since the last complete read
    bool is_failing_ = false;
    bool is_following_ = false; ///< other instances watch the list for this one
    steady_time followed_{};    ///< the latest answer of one of them, or the begin of following
    steady_time watch_began_{};
    steady_time last_success_{}; ///< when the list was last known to be complete
    steady_time last_answer_{};  ///< of the list's service, before its calls began to fail
    steady_time next_call_{};
    steady_time next_peer_request_{};
    std::size_t next_peer_ = 0;
};

} // namespace almondline::fleet
