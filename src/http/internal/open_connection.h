#pragma once

#include "http/internal/server_exchange.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace almondline::http_internal {

/// A connection of the server, for changes of the limits and for the log. Used on the connection's
/// strand.
struct open_connection {
    http_stream* stream = nullptr;
    std::string remote;                      ///< address and port of the caller
    bool is_idle = false;                    ///< waits for the first bytes of a request
    std::chrono::milliseconds idle_limit{0}; ///< of this wait
    bool is_extended = false;                ///< the wait was ended to apply a longer limit
    bool is_reading_body = false;
    bool is_refused = false;       ///< the rest of the body is not awaited any more
    std::size_t requests = 0;      ///< that were answered or cut
    std::string_view close_reason; ///< why the server closes it; empty if the caller did
};

} // namespace almondline::http_internal
