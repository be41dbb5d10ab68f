#pragma once

#include "entry/caller_api.h"

namespace almondline::entry {

/// Refuses every request with an idempotency key, truthfully, until key claims are connected.
class unkeyed_runner final : public keyed_request_runner {
public:
    explicit unkeyed_runner(traffic_context& context) : context_{context} {}

    boost::asio::awaitable<void> run(caller_request request, http_exchange& exchange) override;
    std::string mint_key(const std::string& account) override;

private:
    traffic_context& context_;
};

} // namespace almondline::entry
