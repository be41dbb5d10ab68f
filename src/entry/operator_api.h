#pragma once

#include "http/server.h"
#include "metrics/registry.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace almondline::entry {

/// What operators may ask of the control thread. Each function returns at once and delivers a JSON
/// text later.
struct operator_functions {
    using deliver = std::function<void(std::string)>;
    std::function<void(deliver)> status;
    std::function<void(std::string request_id, deliver)> explain;
    std::function<void()> drain;
};

/// HTTP interface for operators: status, explain, drain, log levels. Closed without a key hash.
class operator_api {
public:
    operator_api(std::string key_hash, operator_functions functions);

    /// Answers one request. Returns false if the path is none of the operators' interface.
    boost::asio::awaitable<bool> handle(http_exchange& exchange);

private:
    boost::asio::awaitable<void> run(http_exchange& exchange);

    std::string key_hash_;
    operator_functions functions_;
};

} // namespace almondline::entry
