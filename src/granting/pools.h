#pragma once

#include "granting/credit_client.h"
#include "granting/granter.h"
#include "granting/pool_owner.h"
#include "granting/slices.h"
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
    /// One instance owns all pools as long as no service is divided into slices, so that allowances
    /// are counted in one place. Otherwise each pool has an owner of its own.
    bool has_common_owner = false;
    slice_settings slices;
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
    /// No instance if the pool has no owner or does not exist.
    pool_owner_id owner_of(const std::string& pool) const;
    /// True if this instance knows an owner for the pools.
    bool has_owners() const;
    /// Other instances that own pools, if services are divided and this one owns none. They know
    /// the servers.
    std::vector<std::string> other_owners() const;
    /// Pools that a request of an account may ask, the first one first: the service, or two of the
    /// account's slices of it.
    std::vector<std::string> pools_of(const std::string& service, const std::string& account,
                                      const std::string& request_id) const;
    /// Engines of the pools that this instance owns.
    std::vector<listed_instance> owned_engines() const;
    const std::map<std::string, std::unique_ptr<granter>>& granters() const { return granters_; }

private:
    /// A service and the servers in each of its slices.
    struct divided_service {
        const service_policy* policy = nullptr; ///< of manifest_
        std::vector<std::vector<std::string>> slices;
    };

    /// A pool, as a slice of its service.
    struct pool_slice {
        std::string pool;
        const divided_service* service = nullptr; ///< in services_
        std::size_t slice = 0;
    };

    /// The pools of all services, whoever owns them.
    std::vector<pool_slice> all_pools() const;
    void divide_services();
    std::map<std::string, pool_owner_id> choose_owners() const;
    /// Chooses the owners anew, and creates and ends granters accordingly.
    void assign_pools();
    bool is_divided() const;
    void create(const pool_slice& place);
    void end(const std::string& pool);
    scheduling::queue_config make_config(const service_policy& service) const;
    scheduling::allowance_table& allowances_of(const std::string& pool);
    void update_allowances(const pool_slice& place);
    double allowance_part(const divided_service& service, const account_policy& account) const;
    std::size_t slice_count_of(const divided_service& service, double allowance) const;
    void forget_replica(const std::string& id);
    void update_replicas(granter& target, const pool_slice& place);

    std::string instance_id_;
    pools_settings settings_;
    const clock_source& clock_;
    peer_sender& sender_;
    decision_log& decisions_;
    failure_domain_lookup lookup_;
    std::shared_ptr<const manifest> manifest_;
    std::vector<membership::member> members_;
    std::vector<listed_instance> backends_;
    std::map<std::string, divided_service> services_; ///< by name
    std::map<std::string, pool_owner_id> owners_;     ///< by pool
    std::map<std::string, double> allowance_rates_;   ///< of the manifest, by account
    double total_allowance_ = 0;
    double allowance_share_ = 1;
    bool has_table_per_pool_ = false; ///< each pool has one, because a service is divided
    /// By pool, or one for all of them while no service is divided. Granters refer to them.
    std::map<std::string, scheduling::allowance_table> allowance_tables_;
    std::map<std::string, std::unique_ptr<granter>> granters_; ///< by pool
};

} // namespace almondline::granting
