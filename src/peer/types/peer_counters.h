#pragma once

#include "peer/envelope_kind.h"

#include <array>
#include <cstdint>

namespace almondline::peer {

struct traffic_counter {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< including frame headers
};

using traffic_by_kind = std::array<traffic_counter, envelope_kind_count>;

/// Totals since the start of the process, for metrics. Traffic is indexed by envelope_kind; none
/// counts keepalives and messages of unknown kinds.
struct peer_counters {
    traffic_by_kind sent{};
    traffic_by_kind received{};
    std::uint64_t dropped_queue_full = 0;
    std::uint64_t dropped_unreachable = 0; ///< no address, failed to connect, or connection limit
    std::uint64_t dropped_too_large = 0;
    std::uint64_t connections_opened = 0;  ///< greetings accepted
    std::uint64_t connections_refused = 0; ///< above the connection limit
    std::uint64_t replaced_unresponsive = 0;
    std::uint64_t timeouts = 0; ///< handshake, write or unfinished frame
    std::uint64_t bad_frames = 0;
    std::uint64_t bad_greetings = 0; ///< missing or refused
};

} // namespace almondline::peer
