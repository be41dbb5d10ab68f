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

namespace almondline::entry {

/// Granters of the pools that this instance owns, kept in step with members, manifest and instance
/// list. Runs on the control thread.
class pools {
public:
    pools(std::string instance_id, const clock_source& clock, peer_sender& sender,
          granting::decision_log& decisions, granting::failure_domain_lookup lookup);

    /// Creates and ends granters after a change of members or manifest.
    void update_ownership(const std::vector<membership::member>& members);
    void apply_manifest(std::shared_ptr<const manifest> content);
    void apply_list(const std::vector<listed_instance>& instances);
    void tick(steady_time now);
    void handle(const std::string& from, const wire::envelope& message);
    void forget_holder(const std::string& instance_id);

    /// Granter that this instance has for the pool, nullptr if it does not own it.
    granting::granter* find(const std::string& pool);
    granting::pool_granter owner_of(const std::string& pool) const;
    /// Engines of the pools that this instance owns.
    std::vector<listed_instance> owned_engines() const;
    const std::map<std::string, std::unique_ptr<granting::granter>>& granters() const
    {
        return granters_;
    }

private:
    void create(const service_policy& service);
    void update_replicas(granting::granter& target, const service_policy& service);

    std::string instance_id_;
    const clock_source& clock_;
    peer_sender& sender_;
    granting::decision_log& decisions_;
    granting::failure_domain_lookup lookup_;
    std::shared_ptr<const manifest> manifest_;
    std::vector<membership::member> members_;
    std::vector<listed_instance> backends_;
    std::map<std::string, std::unique_ptr<granting::granter>> granters_;
};

} // namespace almondline::entry
