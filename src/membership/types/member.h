#pragma once

#include <cstdint>
#include <string>

namespace almondline::membership {

enum class member_status { alive, suspect, dead, leaving };

/// What this instance knows of another entry instance.
struct member {
    std::string id;
    std::int64_t incarnation = 0; ///< start time in ms since the epoch; a restart raises it
    std::int64_t refutation = 0;  ///< raised by the member itself to refute a suspicion
    member_status status = member_status::alive;
    std::string peer_address;
    std::string caller_address;
    std::string failure_domain;
    std::int64_t manifest_version = 0;
};

} // namespace almondline::membership
