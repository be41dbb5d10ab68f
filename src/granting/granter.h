#pragma once

#include "common/clock.h"
#include "granting/decision_log.h"
#include "granting/quarantine.h"
#include "granting/types/granting_counters.h"
#include "granting/types/granting_settings.h"
#include "granting/types/model_work.h"
#include "peer/peer_sender.h"
#include "routing/types/replica.h"
#include "scheduling/allowance.h"
#include "scheduling/types/queue_config.h"
#include "scheduling/types/queue_state.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondline::granting {

class granter_core;

/// Returns the failure domain of an instance, or an empty string if it is not known.
using failure_domain_lookup = std::function<std::string(const std::string& instance_id)>;

/// Grants the dispatch slots of one pool slice, within the accounts' allowances if it is given an
/// allowance table, and refuses requests with quarantined prompt parts if it is given a quarantine
/// table. Created by the entry instance that owns the slice and destroyed when it no
/// longer does. Its state can be rebuilt: holders resend their credit requests to its successor and
/// report their requests in progress.
///
/// Runs on the control thread. The sender may deliver messages to this instance directly, and their
/// handlers may call back into handle().
class granter {
public:
    granter(granter_settings settings, scheduling::queue_config config, const clock_source& clock,
            peer_sender& sender, decision_log& decisions, failure_domain_lookup lookup = {},
            scheduling::allowance_table* allowances = nullptr,
            quarantine_table* quarantine = nullptr);
    ~granter();
    granter(const granter&) = delete;
    granter& operator=(const granter&) = delete;

    /// Handles ask, confirmation, release, cancel, holdings and server report messages of its pool;
    /// ignores others.
    void handle(const std::string& from, const wire::envelope& message);

    /// Expires credits and waiting requests, and grants credits for free slots. Must be called
    /// every 50 to 100 ms and after a change of the replicas.
    void tick(steady_time now);

    /// Applies the queue rules of a new manifest.
    void reconfigure(scheduling::queue_config config);

    /// Releases the credits and removes the waiting requests of an instance. For members that are
    /// dead or have restarted.
    void remove_holder(const std::string& instance_id);

    /// Replaces the set of draining replicas, which get no further grants.
    void set_draining(const std::set<std::string>& replica_ids);

    /// Returns the waiting and running work by model, tier and account.
    std::vector<model_work> work_by_model() const;

    /// Returns the number of requests that a replica may still have. Stays above 0 while a credit
    /// that is unknown to this granter may be in use at a draining replica.
    int unfinished_requests(const routing::replica& replica) const;

    /// Modify it only with the functions of routing/routing.h, and call tick() afterwards.
    routing::replica_table& replicas();
    const scheduling::queue_state& queue() const;
    std::size_t credit_count() const;
    const granter_counters& counters() const;
    const std::string& pool() const;

private:
    std::unique_ptr<granter_core> core_;
};

} // namespace almondline::granting
