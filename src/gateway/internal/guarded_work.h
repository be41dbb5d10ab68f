#pragma once

#include "granting/decision_log.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace almondline::gateway {

using error_handler = std::function<void(const std::string& reason)>;

/// Calls the handler with the reason if the work throws. Operators of awaitables wait for one that
/// succeeds, so an exception would go unnoticed until the request's time is up. Returns when the
/// work was cancelled.
boost::asio::awaitable<void> run_guarded(boost::asio::awaitable<void> work, error_handler on_error);

/// Logs an error in the processing of a request.
void log_error(granting::decision_log& decisions, const std::string& request_id,
               std::string_view event, const std::string& reason);

} // namespace almondline::gateway
