#pragma once

#include "entry/traffic_context.h"
#include "entry/types/caller_request.h"
#include "http/server.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace almondline::entry {

/// Final response to a request, recorded for later requests with the same idempotency key.
struct recorded_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    verdict run = verdict::not_run;
};

/// Acquires a credit, dispatches the request and answers the caller. Tries another backend server
/// only if no byte of the request was written. Returns the response as it was sent, with an empty
/// body unless the request has an idempotency key.
boost::asio::awaitable<recorded_answer>
run_request(traffic_context& context, caller_request request, http_exchange& exchange);

} // namespace almondline::entry
