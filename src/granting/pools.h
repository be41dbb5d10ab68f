#pragma once

#include "granting/asker.h"
#include "granting/granter.h"
#include "granting/pool_owner.h"
#include "manifest/types/manifest.h"
#include "membership/types/member.h"
#include "store/instance_list.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondline::granting {

struct pools_settings {
    granter_settings granter; ///< of each granter; instance and pool are filled in
    scheduling::allowance_settings allowances;
    double yield_share = 0; ///< see scheduling::queue_config
    /// One instance owns all pools, so that allowances are counted in one place. Otherwise each
    /// pool has an owner of its own.
    bool has_common_owner = false;
};

/// Granters of the pools that this instance owns, kept in step with members, manifest and instance
/// list. Runs on the control thread.
class pools {
public:
    pools(std::string instance_id, const clock_source& clock, peer_sender& sender,
          decision_log& decisions, failure_domain_lookup lookup, pools_settings settings = {});

    /// Creates and ends granters after a change of members or manifest.
    void update_ownership(const std::vector<membership::member>& members);
    void apply_manifest(std::shared_ptr<const manifest> content);
    void apply_list(const std::vector<listed_instance>& instances);
    void tick(steady_time now);
    void handle(const std::string& from, const wire::envelope& message);
    void forget_holder(const std::string& instance_id);
    /// Part of the accounts' allowances that this instance gives out while it owns the pools.
    void set_allowance_share(double share);

    /// Granter that this instance has for the pool, nullptr if it does not own it.
    granter* find(const std::string& pool);
    pool_granter owner_of(const std::string& pool) const;
    /// Engines of the pools that this instance owns.
    std::vector<listed_instance> owned_engines() const;
    const std::map<std::string, std::unique_ptr<granter>>& granters() const { return granters_; }

private:
    void create(const service_policy& service);
    scheduling::queue_config make_config(const service_policy& service) const;
    void update_allowances();
    void forget_replica(const std::string& id);
    void update_replicas(granter& target, const service_policy& service);

    std::string instance_id_;
    pools_settings settings_;
    scheduling::allowance_book allowances_;
    const clock_source& clock_;
    peer_sender& sender_;
    decision_log& decisions_;
    failure_domain_lookup lookup_;
    std::shared_ptr<const manifest> manifest_;
    std::vector<membership::member> members_;
    std::vector<listed_instance> backends_;
    std::map<std::string, std::unique_ptr<granter>> granters_;
};

} // namespace almondline::granting
