#pragma once

#include "membership/types/member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondline::membership {

/// A probe or its ack, independent of the wire format. The sender's own record is updates.front().
struct probe_message {
    bool is_ack = false;
    std::int64_t nonce = 0; ///< 0 in a probe that only carries updates and expects no ack
    std::vector<member> updates;
    std::string
        indirect_target; ///< in a probe: the member to probe for the sender; in an ack: it answered
};

struct outgoing_message {
    std::string to;
    probe_message message;
};

} // namespace almondline::membership
