#pragma once

#include "granting/granter.h"
#include "granting/internal/credit_table.h"
#include "peer/wire.h"
#include "routing/routing.h"
#include "scheduling/allowance.h"
#include "scheduling/queue.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace almondline::granting {

/// State of a granter and the operations that its messages and ticks are composed of.
class granter_core {
public:
    granter_core(granter_settings settings, scheduling::queue_config config,
                 const clock_source& clock, peer_sender& sender, decision_log& decisions,
                 failure_domain_lookup lookup, scheduling::allowance_table* allowances,
                 quarantine_table* quarantine);
    ~granter_core();
    granter_core(const granter_core&) = delete;
    granter_core& operator=(const granter_core&) = delete;

    void handle_credit_request(const std::string& from, const wire::ask_message& message,
                               steady_time now);
    void handle_confirmation(const std::string& from, const wire::confirm_message& message,
                             steady_time now);
    void handle_release(const std::string& from, const wire::release_message& message,
                        steady_time now);
    void handle_cancel(const std::string& from, const wire::cancel_message& message,
                       steady_time now);
    void handle_holdings(const std::string& from, const wire::holdings_message& message,
                         steady_time now);
    void handle_server_report(const std::string& from, const wire::server_report_message& message,
                              steady_time now);
    /// Takes a response that has begun as an answer: what crashes a server does so by its start.
    void handle_start(const std::string& from, const wire::start_message& message, steady_time now);

    void note_received(const std::string& from, steady_time now) { last_received_[from] = now; }
    void expire_credits(steady_time now);
    void expire_credit_requests(steady_time now);
    void check_backends(steady_time now);
    /// Refuses waiting requests with prompt parts that were quarantined since the last call.
    void check_quarantines(steady_time now);
    /// Refuses requests for models that no replica has loaded.
    void check_models(steady_time now);
    std::vector<model_work> work_by_model() const;
    void check_holders(steady_time now);
    void remove_holder(const std::string& instance_id, steady_time now);
    void refuse_all(const std::vector<scheduling::shed_request>& shed);
    /// Grants credits while a waiting request fits a free slot.
    void grant_waiting(steady_time now);
    /// Sends the queued messages. They are sent only when the state is consistent, because a local
    /// holder may answer within the call.
    void flush();

    granter_settings settings;
    scheduling::queue_state queue;
    routing::replica_table table;
    credit_table credits;
    granter_counters counters;
    const clock_source& clock;

private:
    scheduling::slot_view slots_at(steady_time now) const;
    wire::slice_load load_at(steady_time now) const;
    /// Reserves the tokens of a request in its account's allowance, unless it already has a charge.
    /// Returns false after refusing the request because the allowance is used up.
    bool reserve_allowance(const scheduling::credit_request& request, steady_time now);
    /// Returns false after refusing the request because of a quarantined prompt part.
    bool check_quarantine(const scheduling::credit_request& request, steady_time now);
    void refuse_quarantined(const scheduling::credit_request& request, const quarantine_hold& hold);
    void note_answer(const issued_credit& entry, steady_time now);
    /// Must be called with the fingerprints of each admitted request that reached no server.
    void cancel_trial(const fingerprints& ids, steady_time now);
    void spend_allowance(const std::string& request_id, steady_time now);
    /// Removes the charge of a request and returns its tokens if they are unspent or it did not
    /// run.
    void settle_allowance(const std::string& request_id, bool has_run, steady_time now);
    void issue(const scheduling::credit_request& request, const routing::request_shape& shape,
               const routing::choice& chosen, steady_time now);
    void send_grant(const issued_credit& entry, const std::vector<std::string>& candidates,
                    steady_time now);
    void refuse(const scheduling::credit_request& request, const refusal& reason,
                std::string_view event);
    void release(const std::string& request_id, const release_report& report, steady_time now);
    /// Adds a credit that its holder uses but the table lacks, in place of any other credit of the
    /// request.
    void add_in_use(issued_credit entry, steady_time now);
    /// Adds a credit from a holdings report if it is not known.
    void restore(const std::string& from, const wire::holding& holding, steady_time now);
    /// Applies the rates that a holder remembers.
    void restore_rates(const std::string& from, const std::vector<wire::advertised_rate>& rates,
                       steady_time now);
    void log_rate(const std::string& backend_id, const std::string& reported_by) const;
    bool is_excluded_everywhere(const scheduling::credit_request& request) const;
    /// Returns false if a request for the model may have to wait while replicas are free.
    bool is_served_by_all(const std::string& model) const;
    bool is_served_by_any(const std::string& model) const;
    bool is_bypass_over(const scheduling::credit_request& request, steady_time now);
    bool lacks_backends(steady_time now) const;

    /// Tokens that a request has reserved or spent from its account's allowance.
    struct allowance_charge {
        std::string account;
        double tokens = 0;
        bool is_spent = false;
    };

    peer_sender& sender_;
    decision_log& decisions_;
    failure_domain_lookup lookup_;
    scheduling::allowance_table* allowances_; ///< null: accounts have no limits
    quarantine_table* quarantine_;            ///< null: no request is refused because of its prompt
    std::uint64_t applied_quarantine_changes_ = 0;
    std::unordered_map<std::string, allowance_charge> charges_; ///< by request id
    std::string credit_prefix_; ///< random, so that credit ids of two granters differ
    std::uint64_t next_credit_ = 1;
    steady_time grants_start_at_;
    steady_time next_holder_check_{};
    /// A request that was refused because no replica had its model.
    struct unserved_request {
        steady_time refused_at;
        scheduling::credit_request request;
    };
    std::optional<steady_time> no_backend_since_;
    std::map<std::string, steady_time> no_model_since_;
    std::deque<unserved_request> unserved_;
    std::unordered_map<std::string, steady_time> last_received_;
    std::unordered_map<std::string, steady_time> bypassed_since_; ///< by request id
    std::deque<std::pair<std::string, wire::envelope>> outbox_;
    bool is_flushing_ = false;
};

} // namespace almondline::granting
