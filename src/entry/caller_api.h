#pragma once

#include "entry/traffic_context.h"
#include "entry/types/caller_request.h"
#include "http/server.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace almondline::entry {

struct advertised_address {
    std::string instance_id;
    std::string address; ///< IP:PORT
    std::string failure_domain;
};

/// Returns the addresses that callers may currently use. Thread-safe.
using address_source = std::function<std::vector<advertised_address>()>;

/// Runs requests that carry an idempotency key, each at most once.
class keyed_request_runner {
public:
    virtual ~keyed_request_runner() = default;
    virtual boost::asio::awaitable<void> run(caller_request request, http_exchange& exchange) = 0;
    /// Issues a new idempotency key and returns the body of the response to POST /v1/identities.
    virtual std::string mint_key(const std::string& account) = 0;

protected:
    keyed_request_runner() = default;
    keyed_request_runner(const keyed_request_runner&) = default;
    keyed_request_runner& operator=(const keyed_request_runner&) = default;
};

/// HTTP API for callers.
class caller_api {
public:
    caller_api(traffic_context& context, keyed_request_runner& keyed, address_source addresses,
               std::chrono::milliseconds address_lifetime);

    /// Answers one request. Returns false, without an answer, if the path does not belong to the
    /// callers' API.
    boost::asio::awaitable<bool> handle(http_exchange& exchange);

private:
    boost::asio::awaitable<void> handle_caller_request(http_exchange& exchange, bool is_completion);
    void count_refusal(std::string_view code);
    http_response list_addresses() const;
    http_response mint_idempotency_key(const http_request& request);

    traffic_context& context_;
    keyed_request_runner& keyed_;
    address_source addresses_;
    std::chrono::milliseconds address_lifetime_;
};

} // namespace almondline::entry
