#pragma once

#include "http/server.h"
#include "metrics/registry.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace almondline::entry {

/// Operations on the control thread that operators can request. Each function returns immediately;
/// status and explain deliver a JSON text later.
struct operator_functions {
    using deliver = std::function<void(std::string)>;
    std::function<void(deliver)> status;
    std::function<void(std::string request_id, deliver)> explain;
    std::function<void()> drain;
};

/// HTTP API for operators: status, explain, drain and log levels. If the key hash is empty, every
/// request is refused.
class operator_api {
public:
    operator_api(std::string key_hash, operator_functions functions);

    /// Answers one request. Returns false, without an answer, if the path does not belong to the
    /// operators' API.
    boost::asio::awaitable<bool> handle(http_exchange& exchange);

private:
    boost::asio::awaitable<void> run(http_exchange& exchange);

    std::string key_hash_;
    operator_functions functions_;
};

} // namespace almondline::entry
