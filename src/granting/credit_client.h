#pragma once

#include "common/clock.h"
#include "granting/decision_log.h"
#include "granting/pool_owner.h"
#include "granting/types/credit.h"
#include "granting/types/granting_counters.h"
#include "granting/types/granting_settings.h"
#include "peer/peer_sender.h"

#include <functional>
#include <memory>
#include <string>

namespace almondline::granting {

/// Returns the owner of a pool as known to this instance.
using owner_lookup = std::function<pool_owner_id(const std::string& pool)>;

/// Obtains credits for the requests whose callers are connected to this entry instance, and reports
/// the outcome of each. A handler is called at most once, with one credit or a refusal, even if the
/// pool owner changes; further grants for the same request are released.
///
/// Runs on the control thread. Handlers may call back into the credit client.
class credit_client {
public:
    credit_client(credit_client_settings settings, const clock_source& clock, peer_sender& sender,
                  owner_lookup lookup, decision_log& decisions);
    ~credit_client();
    credit_client(const credit_client&) = delete;
    credit_client& operator=(const credit_client&) = delete;

    /// Requests a credit from the pool's granter, with this instance as the holder. The handler may
    /// be called before the function returns. Once a credit has been released, another one may be
    /// requested for the same request id. Returns false and does not call the handler if the
    /// request id is still waiting or holds a credit.
    bool request_credit(const std::string& pool, scheduling::credit_request request,
                        credit_handler handler);

    /// Marks the credit as used. Must be called directly before the first byte is written. Returns
    /// false if the credit has expired or does not exist: the request must then not be dispatched,
    /// and an expired credit must be released.
    bool confirm(const std::string& request_id);

    /// Returns the credit to its granter. Must be called once for each credit that a handler
    /// received.
    void release(const std::string& request_id, const release_report& report);

    /// Passes what the backend server of a credit reports in the header of its response on to the
    /// granter. Must be called when the header arrives. Ignored if the request holds no credit.
    void note_server(const std::string& request_id, const server_report& report);

    /// Tells the granter that the response of a request has begun. Must be called once if its
    /// credit asks for it.
    void report_start(const std::string& request_id);

    /// Withdraws a waiting request; its handler will not be called. Returns false if the request
    /// was already answered.
    bool cancel(const std::string& request_id);

    /// Refuses a waiting request because its service is no longer the right one. Does nothing if it
    /// was already answered.
    void refuse_waiting(const std::string& request_id);

    /// Refuses the waiting requests of pools that no longer exist; nobody would answer them before
    /// their deadline. Must be called when the manifest or the backend servers change.
    void refuse_removed_pools(const std::function<bool(const std::string& pool)>& exists);

    /// Handles grant and refusal messages; ignores others.
    void handle(const std::string& from, const wire::envelope& message);

    /// Checks for new pool owners, refuses requests whose deadline has passed, resends credit
    /// requests, and sends due confirmations and holdings reports. Must be called every 50 to
    /// 100 ms.
    void tick(steady_time now);

    /// Checks for new pool owners immediately. Must be called when the membership changes.
    void check_owners();

    std::size_t waiting_count() const;
    std::size_t held_count() const;
    /// Returns the number of backend servers whose request rate this instance knows.
    std::size_t advertised_rate_count() const;
    const credit_client_counters& counters() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace almondline::granting
