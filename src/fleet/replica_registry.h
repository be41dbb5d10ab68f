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
    /// Reads that fail for this long are an outage.
    std::chrono::milliseconds outage_after{1500};
    /// Servers write their entries this often. Tells an outage of the whole list, when nobody could
    /// write, from one of this instance's reads alone, after which a missing entry has left.
    std::chrono::milliseconds heartbeat{1200};
    /// What is known of a server that ended is kept for this long, so that a late read does not
    /// bring it back.
    std::chrono::milliseconds forget_after{60'000};
};

struct registered_replica {
    listed_instance info;
    bool is_gone = false; ///< left the list
    steady_time since{};  ///< of is_gone
};

struct replica_registry {
    registry_settings settings;
    std::map<std::string, registered_replica> replicas; ///< by id
    std::uint64_t revision = 0;                         ///< of the last read that was used
    steady_time last_success{};
    steady_time complete_from{}; ///< before it, a missing entry may only have lapsed
};

/// Takes a complete read of the list, and returns true if anything changed. A read older than the
/// last one is ignored. A server that was said to leave, or left, comes back only as another
/// incarnation.
bool apply_read(replica_registry& registry, const std::vector<listed_instance>& servers,
                std::uint64_t revision, steady_time now);

/// Takes word of another instance that a server is leaving. Returns true if it was not known.
bool note_leaving(replica_registry& registry, const std::string& id, std::int64_t incarnation);

/// Servers that may get requests or are leaving.
std::vector<listed_instance> present_replicas(const replica_registry& registry);

/// False if the server is leaving, gone or unknown.
bool may_dispatch(const replica_registry& registry, const std::string& id);

} // namespace almondline::fleet
