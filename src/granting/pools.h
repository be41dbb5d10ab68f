#pragma once

#include "balance/load_table.h"
#include "balance/slice_choice.h"
#include "granting/credit_client.h"
#include "granting/granter.h"
#include "granting/pool_owner.h"
#include "granting/quarantine_exchange.h"
#include "granting/slices.h"
#include "granting/types/pool_refusal.h"
#include "manifest/types/manifest.h"
#include "membership/types/member.h"
#include "store/instance_list.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondline::granting {

struct pools_settings {
    granter_settings granter; ///< for each granter; instance_id and pool are filled in
    scheduling::allowance_settings allowances;
    double yield_share = 0; ///< see scheduling::queue_config
    /// If set, one instance owns all pools as long as no service is divided into slices, so that
    /// allowances are counted in one place. Otherwise the owner of each pool is chosen separately.
    bool has_common_owner = false;
    slice_settings slices;
    balance::balance_settings balance;
    quarantine_exchange_settings quarantines;
};

/// Manages the granters of the pools that this instance owns, following changes of the members, the
/// manifest and the instance list. Runs on the control thread.
class pools {
public:
    pools(std::string instance_id, const clock_source& clock, peer_sender& sender,
          decision_log& decisions, failure_domain_lookup lookup, pools_settings settings = {});

    /// Creates and removes granters after a change of the members.
    void update_ownership(const std::vector<membership::member>& members);
    void apply_manifest(std::shared_ptr<const manifest> content);
    void apply_list(const std::vector<listed_instance>& instances);
    void tick(steady_time now);
    void handle(const std::string& from, const wire::envelope& message);
    void remove_holder(const std::string& instance_id);
    /// Sets the share of the accounts' allowances, and of the request rates that backend servers
    /// advertise, that this instance grants while it owns the pools, 0 to 1.
    void set_allowance_share(double share);

    /// Returns this instance's granter for the pool, or nullptr if it does not own the pool.
    granter* find(const std::string& pool);
    /// Returns an empty id if the pool has no owner or does not exist.
    pool_owner_id owner_of(const std::string& pool) const;
    /// Returns whether the manifest and the backend servers give a service this pool.
    bool exists(const std::string& pool) const;
    /// Returns true if this instance knows the owner of at least one pool.
    bool has_owners() const;
    /// Returns the instances that own pools, if a service is divided and this instance owns no
    /// pool; otherwise empty. The owners have the state of the backend servers.
    std::vector<std::string> other_owners() const;
    /// Returns the pool to ask for the credit of a request: the service's only pool, or a slice of
    /// the service chosen by its load. If pools have refused the request, returns another one that
    /// may take it, or an empty string if there is none. The request must then be asked for there,
    /// because it counts as part of that slice's load from now on.
    std::string choose_pool(const std::string& service, const scheduling::credit_request& request,
                            const std::vector<pool_refusal>& refused_by);
    /// Returns how long a request has to wait because of quarantined parts of its prompt; nothing
    /// if it may run.
    std::optional<quarantine_hold> quarantine_wait(const std::string& service,
                                                   const fingerprints& ids) const;
    std::size_t quarantined_prompts() const { return quarantines_.quarantined_count(); }
    /// Returns the backend servers of the model services' pools that this instance owns.
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
        std::size_t index = 0;
    };

    /// Returns the pools of all services, including those that other instances own.
    std::vector<pool_slice> all_pools() const;
    /// Returns an empty string if this instance does not own the pool.
    std::string service_of_own(const std::string& pool) const;
    /// Returns the instances that own pools of the service.
    std::vector<std::string> owners_of_service(const std::string& service) const;
    void divide_services();
    std::map<std::string, pool_owner_id> choose_owners() const;
    /// Recomputes the owners, and creates and removes granters accordingly.
    void assign_pools();
    bool is_divided() const;
    void create_granter(const pool_slice& slice);
    void end_granter(const std::string& pool);
    scheduling::queue_config make_config(const service_policy& service) const;
    scheduling::allowance_table& allowances_of(const std::string& pool);
    void update_allowances(const pool_slice& slice);
    /// Returns the fraction of an account's allowance that each granter of the service grants from.
    double allowance_fraction(const divided_service& service, const account_policy& account) const;
    /// Returns the number of slices of the service that an account with this allowance uses.
    std::size_t slice_count_of(const divided_service& service, double allowance) const;
    balance::slice_choice choose_other_pool(const std::vector<std::string>& slices,
                                            const balance::slice_request& wanted,
                                            const std::vector<pool_refusal>& refused_by) const;
    void log_choice(const scheduling::credit_request& request, const balance::slice_choice& chosen,
                    const std::vector<pool_refusal>& refused_by);
    /// Returns the slices that may grant a credit to the account and have not refused it, without
    /// those that have no owner as long as another one has.
    std::vector<std::string> usable_slices(const divided_service& service,
                                           const std::string& account,
                                           const std::vector<pool_refusal>& refused_by) const;
    /// Keeps the load of a slice that its granter attached to an answer.
    void note_load(const std::string& from, const wire::envelope& message);
    /// Removes a replica from all granters, with its speed estimates.
    void drop_replica(const std::string& id);
    void update_replicas(granter& target, const pool_slice& slice);

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
    bool has_table_per_pool_ = false; ///< set while a service is divided
    /// By pool, or a single common one while no service is divided. Granters refer to them.
    std::map<std::string, scheduling::allowance_table> allowance_tables_;
    balance::load_table loads_;                                ///< of the slices
    quarantine_exchange quarantines_;                          ///< granters refer to its tables
    std::map<std::string, std::unique_ptr<granter>> granters_; ///< by pool
};

} // namespace almondline::granting
