#pragma once

#include "common/clock.h"
#include "common/settings.h"
#include "store/key_value_store.h"
#include "store/types/store_limits.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <vector>

namespace almondline {

/// Client of the platform's key-value service over HTTP. Used on the control thread.
///
/// Reads and watches fail over to another address. Writes and lease calls are attempted only once:
/// a retry could not distinguish its own first attempt from a write by another client. A call above
/// a limit is not sent and ends with failed or refused. Renewals and revocations are never
/// throttled, because recovering from an expired lease takes more calls than throttling saves.
/// Handlers of calls still pending when the object is destroyed do not run.
class http_key_value_store final : public key_value_store {
public:
    /// The clock must outlive the object.
    http_key_value_store(boost::asio::any_io_executor executor, std::vector<ip_endpoint> addresses,
                         store_limits limits, const clock_source& clock);
    ~http_key_value_store() override;
    http_key_value_store(const http_key_value_store&) = delete;
    http_key_value_store& operator=(const http_key_value_store&) = delete;

    void get(const std::string& key, get_handler handler) override;
    void watch(const std::string& key, std::uint64_t after_revision, std::chrono::milliseconds wait,
               get_handler handler) override;
    void compare_and_swap(const std::string& key, std::uint64_t expected_revision,
                          const std::string& value, const std::string& lease_id,
                          put_handler handler) override;
    void grant_lease(std::chrono::milliseconds lifetime, lease_handler handler) override;
    void renew_lease(const std::string& lease_id, lease_handler handler) override;
    void revoke_lease(const std::string& lease_id, lease_handler handler) override;

    const store_call_counts& counts() const;
    /// Calls in flight, without watches.
    std::size_t in_flight() const;
    std::size_t pending_watches() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace almondline
