#pragma once

#include "common/clock.h"
#include "store/instance_list.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Registry of the backend servers in the platform's list. The functions do no I/O and read no
/// clock: the time is passed in.
namespace almondline::fleet {

struct registry_settings {
    /// Time after an outage of the list by which entries that expired during it have reappeared.
    std::chrono::milliseconds return_grace{2500};
    /// Time for which the record of a server that left is kept, so that a late read does not bring
    /// the server back.
    std::chrono::milliseconds remove_gone_after{60'000};
};

struct registered_replica {
    listed_instance info;
    bool is_gone = false; ///< not in the list any more
    steady_time gone_since{};
    /// The server asked this instance to send it no requests before this time.
    steady_time backoff_until{};
};

struct replica_registry {
    registry_settings settings;
    std::map<std::string, registered_replica> replicas; ///< by id
    std::uint64_t era = 0;       ///< of the list's service, to which the revision belongs
    std::uint64_t revision = 0;  ///< of the last read or change that was applied
    bool was_restored = false;   ///< the service has returned from an older copy
    steady_time backoff_until{}; ///< latest value of all replicas
    steady_time complete_from{}; ///< before this time a missing entry may merely have expired
};

/// Must be called before the first read of a later era is applied. Entries may be missing, or be
/// older than those known, until their servers have written them again.
void start_era(replica_registry& registry, std::uint64_t era, steady_time now);

/// Applies a complete read of the list, and returns true if anything changed. A read older than the
/// last one is ignored. A server that is leaving, or left after it announced so, comes back only
/// with a later incarnation.
bool apply_read(replica_registry& registry, const std::vector<listed_instance>& servers,
                std::uint64_t revision, steady_time now);

/// Applies changes of single entries, and returns true if anything changed. Changes that are not
/// newer than the last read or change are ignored, and so are removals while the registry is not
/// complete.
bool apply_changes(replica_registry& registry, const std::vector<instance_change>& changes,
                   steady_time now);

/// Must be called when the list is available again after an outage: for return_grace, entries may
/// be missing although their servers are still running.
void start_return_grace(replica_registry& registry, steady_time now);

/// Returns false while entries that expired during an outage may still be missing.
bool is_complete(const replica_registry& registry, steady_time now);

/// Returns the servers that are not gone, including those that are leaving.
std::vector<listed_instance> present_replicas(const replica_registry& registry);

/// Records that the server itself announced that it is leaving. Returns true if this was not known.
bool note_leaving(replica_registry& registry, const std::string& id);

/// Records that the server asked this instance to send it no requests until the given time. Never
/// shortens an earlier back-off.
void note_backoff(replica_registry& registry, const std::string& id, steady_time until);

/// Returns the ids of a service's servers whose back-off has not ended.
std::vector<std::string> replicas_in_backoff(const replica_registry& registry,
                                             const std::string& service, steady_time now);

/// Returns false if the server is leaving, gone, unknown or in back-off.
bool may_dispatch(const replica_registry& registry, const std::string& id, steady_time now);

} // namespace almondline::fleet
