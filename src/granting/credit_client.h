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

/// Returns the granter of a pool as this instance sees it.
using owner_lookup = std::function<pool_owner_id(const std::string& pool)>;

/// Gets credits for the requests whose callers this entry instance holds, and reports what became
/// of them. Whoever the granter is, a handler is called at most once, with one credit or a refusal;
/// further grants for its request are released.
///
/// Runs on the control thread. Handlers may call back into the asker.
class credit_client {
public:
    credit_client(credit_client_settings settings, const clock_source& clock, peer_sender& sender,
                  owner_lookup lookup, decision_log& decisions);
    ~credit_client();
    credit_client(const credit_client&) = delete;
    credit_client& operator=(const credit_client&) = delete;

    /// Asks the pool's granter. The holder of the ask is this instance. The handler may be called
    /// before the function returns. After a credit that was not used, the same request id may be
    /// asked for again. Returns false, and does not call the handler, if it is still waiting or
    /// holds a credit.
    bool request_credit(const std::string& pool, scheduling::credit_request what,
                        credit_handler handler);

    /// To be called directly before the first byte is written. Returns false if the credit has
    /// expired: the request must then not be dispatched, and the credit is to be released.
    bool confirm(const std::string& request_id);

    /// Gives the credit back. To be called once for each credit that a handler received.
    void release(const std::string& request_id, const release_report& report);

    /// Withdraws an ask. Its handler is not called any more. Returns false if the ask was already
    /// answered.
    bool cancel(const std::string& request_id);

    /// Takes grant and refusal messages; ignores others.
    void handle(const std::string& from, const wire::envelope& message);

    /// Resends asks, gives up at deadlines, reports holdings and looks for new owners. To be called
    /// every 50 to 100 ms.
    void tick(steady_time now);

    /// Looks for new owners at once. For changes of the membership.
    void check_owners();

    std::size_t waiting_count() const;
    std::size_t held_count() const;
    const credit_client_counters& counters() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace almondline::granting
