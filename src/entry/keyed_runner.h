#pragma once

#include "entry/caller_api.h"
#include "entry/key_guard.h"

namespace almondline::entry {

/// Runs requests with idempotency keys: dispatches the first request with a key and replays its
/// response to later ones.
class keyed_runner final : public keyed_request_runner {
public:
    /// caller_address: the address to which callers must send requests with keys minted here.
    keyed_runner(traffic_context& context, key_guard& guard, std::string caller_address);

    boost::asio::awaitable<void> run(caller_request request, http_exchange& exchange) override;
    std::string mint_key(const std::string& account) override;

private:
    boost::asio::awaitable<void> refuse(const idempotency::admission& answer,
                                        const std::string& request_id, http_exchange& exchange);

    traffic_context& context_;
    key_guard& guard_;
    std::string caller_address_;
};

} // namespace almondline::entry
