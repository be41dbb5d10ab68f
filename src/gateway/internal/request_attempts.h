#pragma once

#include "common/clock.h"
#include "gateway/internal/server_attempt.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <optional>

namespace almondline::gateway {

/// The attempts to run one request. A round begins with one attempt; others are added while all of
/// its servers are silent. The next round begins when none is in progress.
struct request_attempts {
    /// Cancelled when an attempt has ended or delivered, to wake what waits for that.
    boost::asio::steady_timer changed;
    std::list<server_attempt> current{}; ///< of this round
    /// Of earlier rounds, those that ended with a server's error response, which the caller gets if
    /// no other attempt ends with a response.
    std::list<server_attempt> answered{};
    std::optional<steady_time> first_sent{}; ///< when the first server got a part of the request
    int servers_reached = 0;                 ///< servers to which the request was sent
    int unreachable_servers = 0; ///< servers to which no connection could be established
    bool may_have_run = false;   ///< on any server
    bool is_reserving = false;   ///< a credit for a server beside silent ones is being requested
};

} // namespace almondline::gateway
