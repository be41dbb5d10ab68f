#pragma once

#include "entry/credit_source.h"
#include "http/server.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace almondline::entry {

/// Requests a credit and waits for the decision. Returns nullopt if the caller closed its
/// connection first; a credit that is granted after that is released as not dispatched.
boost::asio::awaitable<std::optional<granting::credit_result>>
wait_for_credit(credit_source& credits, std::string pool, scheduling::credit_request new_request,
                http_exchange& exchange);

} // namespace almondline::entry
