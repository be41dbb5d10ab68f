#pragma once

#include "entry/traffic_context.h"
#include "entry/types/caller_request.h"
#include "http/server.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace almondline::entry {

/// Final answer of a request, kept for later requests with the same idempotency key.
struct recorded_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    verdict run = verdict::not_run;
};

/// Gets a credit, dispatches the request once and answers the caller. The return value is the
/// answer as it was given, with an empty body unless the request has an idempotency key.
boost::asio::awaitable<recorded_answer>
run_request(traffic_context& context, caller_request request, http_exchange& exchange);

} // namespace almondline::entry
