#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace almondline {

enum class get_status {
    found,
    missing,
    unchanged, ///< a watch ended without a change
    failed     ///< rate limit, outage or timeout
};

struct get_result {
    get_status status = get_status::failed;
    std::string value;
    std::uint64_t revision = 0; ///< of the key, increases across the whole store within an era
    std::string message;        ///< cause of a failure
    std::uint64_t era = 0;      ///< in which the service answered, see key_value_store::era()
};

enum class put_status {
    done,
    conflict, ///< not written, the key has another revision
    refused,  ///< not written: rate limit, outage, size, or no connection
    unknown   ///< the response was lost, the write may have taken effect
};

struct put_result {
    put_status status = put_status::unknown;
    std::uint64_t revision = 0; ///< new revision if done, current one if conflict
    std::string message;
};

struct lease_result {
    bool is_granted = false; ///< false for a renewal: the lease is lost or the store is unreachable
    bool is_lost = false;    ///< the store reported that the lease no longer exists
    std::string lease_id;
    std::string message;
    std::uint64_t era = 0; ///< in which the service answered, see key_value_store::era()
};

/// The platform's key-value service. Calls return at once; the handlers run on the control thread,
/// exactly once each, never from within the call. Writes and lease calls are not retried here: only
/// the caller knows whether a retry is safe.
class key_value_store {
public:
    using get_handler = std::function<void(const get_result&)>;
    using put_handler = std::function<void(const put_result&)>;
    using lease_handler = std::function<void(const lease_result&)>;

    virtual ~key_value_store() = default;

    virtual void get(const std::string& key, get_handler handler) = 0;
    /// Completes when the key's revision is above after_revision, or with unchanged after wait.
    virtual void watch(const std::string& key, std::uint64_t after_revision,
                       std::chrono::milliseconds wait, get_handler handler) = 0;
    /// Writes if the key's revision is expected_revision; 0 means that the key must not exist.
    /// With a lease id the key is deleted when the lease ends. Values hold at most 1 MB.
    virtual void compare_and_swap(const std::string& key, std::uint64_t expected_revision,
                                  const std::string& value, const std::string& lease_id,
                                  put_handler handler) = 0;
    virtual void grant_lease(std::chrono::milliseconds lifetime, lease_handler handler) = 0;
    virtual void renew_lease(const std::string& lease_id, lease_handler handler) = 0;
    virtual void revoke_lease(const std::string& lease_id, lease_handler handler) = 0;
    /// Returns the latest era that the service named, or 0 if it names none. The era rises when the
    /// service returns from an older copy: writes and leases since that copy are lost, and
    /// revisions and lease ids are given out again, so those of different eras must not be
    /// compared.
    virtual std::uint64_t era() const { return 0; }

protected:
    key_value_store() = default;
    key_value_store(const key_value_store&) = default;
    key_value_store& operator=(const key_value_store&) = default;
};

/// Largest value that the service holds, in bytes.
constexpr std::size_t max_store_value = 1'000'000;

} // namespace almondline
