#pragma once

#include "entry/credit_source.h"
#include "http/server.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace almondline::entry {

/// Waits for the decision on an ask. Returns nothing if the caller closed its connection first; a
/// credit that arrives after that is returned unused.
boost::asio::awaitable<std::optional<granting::credit_result>>
wait_for_credit(credit_source& credits, std::string pool, scheduling::credit_request what,
                http_exchange& exchange);

} // namespace almondline::entry
