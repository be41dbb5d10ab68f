#pragma once

#include "membership/types/member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondline::membership {

/// A probe or its answer, without the wire format. The sender's own record is updates.front().
struct probe_message {
    bool is_ack = false;
    std::int64_t nonce = 0; ///< 0 in a probe: it only carries updates, no answer is wanted
    std::vector<member> updates;
    std::string indirect_target; ///< probe: to be probed for the sender; ack: it answered
};

struct outgoing_message {
    std::string to;
    probe_message message;
};

} // namespace almondline::membership
