#pragma once

#include "common/clock.h"
#include "store/instance_list.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Backend servers as the platform's list names them. Pure: the time is passed in.
namespace almondline::fleet {

struct registry_settings {
    /// Entries that lapsed during an outage of the list are back by this time after its return.
    std::chrono::milliseconds return_grace{2500};
    /// What is known of a server that ended is kept for this long, so that a late read does not
    /// bring it back.
    std::chrono::milliseconds forget_after{60'000};
};

struct registered_replica {
    listed_instance info;
    bool is_gone = false; ///< left the list
    steady_time since{};  ///< of is_gone
    /// The server wants no request of this instance before this time.
    steady_time backoff_until{};
};

struct replica_registry {
    registry_settings settings;
    std::map<std::string, registered_replica> replicas; ///< by id
    std::uint64_t revision = 0;                         ///< of the last read that was used
    steady_time backoff_until{};                        ///< the latest of the replicas
    steady_time complete_from{}; ///< before it, a missing entry may only have lapsed
};

/// Takes a complete read of the list, and returns true if anything changed. A read older than the
/// last one is ignored. A server that was said to leave, or left, comes back only as another
/// incarnation.
bool apply_read(replica_registry& registry, const std::vector<listed_instance>& servers,
                std::uint64_t revision, steady_time now);

/// Takes changes of single entries, and returns true if anything changed. Changes older than the
/// last read or change are ignored, and so are removals while the registry is not complete.
bool apply_changes(replica_registry& registry, const std::vector<instance_change>& changes,
                   steady_time now);

/// The list is back after an outage: entries may be missing for a while though their servers live.
void expect_returns(replica_registry& registry, steady_time now);

/// False while entries that lapsed may still be missing.
bool is_complete(const replica_registry& registry, steady_time now);

/// Servers that may get requests or are leaving.
std::vector<listed_instance> present_replicas(const replica_registry& registry);

/// The server itself said that it leaves. Returns true if that was not known.
bool note_leaving(replica_registry& registry, const std::string& id);

/// The server asked for no request of this instance until then.
void note_backoff(replica_registry& registry, const std::string& id, steady_time until);

/// Servers of a service that asked for no request of this instance for now.
std::vector<std::string> replicas_in_backoff(const replica_registry& registry,
                                             const std::string& service, steady_time now);

/// False if the server is leaving, gone or unknown, or asked for no request for now.
bool may_dispatch(const replica_registry& registry, const std::string& id, steady_time now);

} // namespace almondline::fleet
