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
class server_list_request;
} // namespace almondline::wire

/// Keeps the platform's list of backend servers up to date: reads it once, then watches it, and
/// requests it from other instances while it can't be reached. In a large fleet only some instances
/// watch the list, and the others request changes from them.
namespace almondline::fleet {

struct server_list_settings {
    /// Between two calls while the list changes or its calls fail. Changes that happen in between
    /// are returned together by the next call.
    std::chrono::milliseconds call_interval{500};
    /// Between two calls until the list has been read once.
    std::chrono::milliseconds first_interval{200};
    /// From the first read to the first watch. By then a process in a large fleet knows which
    /// instances watch the list on its behalf.
    std::chrono::milliseconds first_watch_delay{1000};
    /// Longest time that one watch waits for changes.
    std::chrono::milliseconds watch_wait{8000};
    /// Between two requests to other instances while calls fail.
    std::chrono::milliseconds peer_interval{500};
    /// Between two requests to the instances that watch the list on behalf of this one.
    std::chrono::milliseconds follow_interval{1000};
    /// The same after a reply of an instance that can't read the list.
    std::chrono::milliseconds early_interval{100};
    /// If they have not replied for this long, the list is read from its service.
    std::chrono::milliseconds follow_timeout{2500};
    /// A gap of more than this between two answers of the list's service counts as an outage, in
    /// which entries may have expired.
    std::chrono::milliseconds outage_after{1500};
};

struct server_list_callbacks {
    std::function<void()> on_change;
    std::function<std::vector<std::string>()> live_peers;
    /// Instances that watch the list on behalf of this one. If unset or if it returns none, this
    /// instance watches the list itself.
    std::function<std::vector<std::string>()> watchers;
    std::function<void(const std::string& to, const wire::envelope& message)> send;
};

/// Runs on the control thread.
class server_list {
public:
    /// The source and the clock must outlive the list.
    server_list(watched_instance_list& source, const clock_source& clock,
                const server_list_settings& settings, server_list_callbacks callbacks);

    void tick(steady_time now);
    /// Handles a list request or reply of another instance. Returns false for other messages.
    bool handle(const std::string& from, const wire::envelope& message, steady_time now);

    /// Records that a server announced in a response that it is leaving.
    void note_leaving(const std::string& id);
    /// Records that a server asked this instance to send it no requests until the given time.
    void note_backoff(const std::string& id, steady_time until);

    /// Returns true once the list has been read by this instance or received from another one.
    bool is_known() const { return last_success_ != steady_time{}; }
    const replica_registry& servers() const { return registry_; }

private:
    void start_call(steady_time now);
    void start_read();
    void start_watch(steady_time now);
    bool is_watch_unreliable() const;
    void abandon_watch(steady_time now);
    void handle_read_result(const instance_list_result& result);
    void handle_watch_result(const instance_watch_result& result);
    void note_success(steady_time now);
    void note_failure(const std::string& cause);
    void request_from_peer(steady_time now);
    bool follow_watchers(const std::vector<std::string>& watchers, steady_time now);
    void send_request(const std::vector<std::string>& peers);
    void request_again_soon(steady_time now);
    void send_reply(const std::string& to, const wire::server_list_request& request,
                    steady_time now);
    void handle_reply(const std::string& from, const wire::envelope& message, steady_time now);
    std::chrono::milliseconds retry_interval() const;

    watched_instance_list& source_;
    const clock_source& clock_;
    server_list_settings settings_;
    server_list_callbacks callbacks_;
    replica_registry registry_;
    std::uint64_t watched_revision_ = 0; ///< the next watch starts after it
    std::uint64_t latest_call_ = 0;      ///< its number; results of earlier calls are ignored
    bool is_calling_ = false;
    bool is_watching_ = false;
    bool needs_read_ = true;            ///< the next call is a read instead of a watch
    bool has_skipped_removals_ = false; ///< since the last complete read
    bool is_failing_ = false;
    bool is_following_ = false;          ///< other instances watch the list on behalf of this one
    steady_time follow_timeout_start_{}; ///< last reply, successful call or start of following
    steady_time watch_started_{};
    steady_time last_success_{}; ///< when the list was last known to be up to date
    steady_time last_answer_{};  ///< of the list's service, before its calls started to fail
    steady_time next_call_{};
    steady_time next_peer_request_{};
    std::size_t next_peer_ = 0;
    int unreliable_replies_ = 0; ///< since the last reliable one
};

} // namespace almondline::fleet
