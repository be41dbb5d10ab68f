#pragma once

#include "gateway/internal/caller_answer.h"
#include "gateway/internal/request_attempts.h"
#include "gateway/internal/request_credits.h"
#include "gateway/internal/request_state.h"
#include "gateway/types/gateway_context.h"
#include "http/server.h"

#include <boost/asio/steady_timer.hpp>

namespace almondline::gateway {

/// One request in progress, passed to the steps that use most of it. The others get the parts that
/// they use.
struct request_flow {
    gateway_context& context;
    http_exchange& exchange;
    boost::asio::steady_timer end_timer; ///< cancelled when the latest end may have become earlier
    request_attempts attempts;
    request_state request{};
    request_credits credits{};
    caller_answer answer{};
};

} // namespace almondline::gateway
