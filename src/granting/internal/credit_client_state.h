#pragma once

#include "granting/credit_client.h"
#include "granting/internal/crash_records.h"
#include "granting/internal/messages.h"
#include "routing/types/advertised_rate.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace almondline::granting {

/// A credit request that has not been answered yet.
struct pending_request {
    std::string pool;
    scheduling::credit_request request;
    credit_handler handler;
    steady_time resend_at{};
    std::chrono::milliseconds resend_after{0};
    bool was_sent = false;
};

/// A credit that has been passed to its handler and not released yet.
struct held_credit {
    credit granted;
    std::string granter;
    scheduling::credit_request request;
    bool is_confirmed = false;
    steady_time confirmed_at{};
};

/// Request rate that a backend server advertised in a response to this instance.
struct known_rate {
    std::string pool;
    routing::advertised_rate rate;
};

/// Requests and credits of this instance at one pool.
struct pool_view {
    pool_owner_id owner;
    std::set<std::string> pending; ///< request ids
    std::set<std::string> held;    ///< request ids
    steady_time report_at{};
    bool is_report_due = false; ///< a credit was released since the last report
};

struct credit_client::state {
    state(credit_client_settings own_settings, const clock_source& time, peer_sender& out,
          owner_lookup find_owner, decision_log& log)
        : settings{std::move(own_settings)}, clock{time}, sender{out},
          lookup{std::move(find_owner)}, decisions{log}
    {
    }

    void send_to_owner(pending_request& entry, const pool_owner_id& owner, steady_time now);
    void resend_due(steady_time now);
    void expire_pending(steady_time now);
    void send_confirmation(const held_credit& held);
    void send_due_confirmations(steady_time now);
    void report_due_holdings(steady_time now);
    void report_holdings(const std::string& pool, pool_view& view, steady_time now);
    void check_owners(steady_time now);
    /// Removes and returns a waiting request. The caller must call its handler.
    std::optional<pending_request> remove_pending(const std::string& request_id);
    /// Logs a refusal and calls the handler with it.
    void refuse(pending_request entry, const refusal& reason);
    void handle_grant(const std::string& from, const wire::grant_message& grant, steady_time now);
    void handle_refusal(const std::string& from, const wire::refusal_message& message);
    /// Releases a grant for which no request waits.
    void release_surplus(const std::string& from, const credit& granted);
    /// Sends to the granter of a credit, and to the pool's current owner if it is another instance.
    void send_to_granters(const held_credit& held, const wire::envelope& message);
    void remove_pool_if_unused(const std::string& pool);
    /// Records the request rate that the backend server of a credit reports, or that it reports
    /// none.
    void note_rate(const held_credit& credit, std::optional<double> per_second, steady_time now);
    std::vector<wire::advertised_rate> rates_of(const std::string& pool, steady_time now) const;
    void remove_old_rates(steady_time now);
    /// Records the crash of the backend server of a credit, which is reported to its granter.
    void note_crash(const held_credit& credit, const fingerprints& suspects, steady_time now);
    void report_crashes(steady_time now);

    credit_client_settings settings;
    const clock_source& clock;
    peer_sender& sender;
    owner_lookup lookup;
    decision_log& decisions;
    credit_client_counters counters;
    std::unordered_map<std::string, pending_request> pending;
    std::unordered_map<std::string, held_credit> held;
    std::map<std::string, pool_view> pools;
    std::map<std::string, known_rate> rates; ///< by id of the backend server
    crash_records crashes;
    // Request ids by the time at which the action is due.
    std::set<std::pair<steady_time, std::string>> by_resend;
    std::set<std::pair<steady_time, std::string>> by_deadline;
    std::set<std::pair<steady_time, std::string>> by_confirmation;
};

} // namespace almondline::granting
