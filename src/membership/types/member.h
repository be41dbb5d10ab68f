#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace almondline::membership {

enum class member_status { alive, suspect, dead, leaving };

/// Returns the name for logs and reports.
inline std::string_view to_string(member_status status)
{
    switch (status) {
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::dead:
        return "dead";
    case member_status::leaving:
        return "leaving";
    }
    return "dead";
}

/// An entry instance as this instance knows it.
struct member {
    std::string id;
    std::int64_t incarnation = 0; ///< start time in ms since the epoch; a restart raises it
    std::int64_t refutation = 0;  ///< raised by the member itself to refute a suspicion
    member_status status = member_status::alive;
    std::string peer_address;
    std::string caller_address;
    std::string failure_domain;
    std::int64_t manifest_version = 0;
    double cores = 0; ///< processor cores that it may use; 0 if unknown
};

} // namespace almondline::membership
