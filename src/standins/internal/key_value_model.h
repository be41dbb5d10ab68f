#pragma once

#include "common/clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondline::standins {

/// Token bucket that allows bursts of one second's calls.
struct rate_limit {
    double per_second = 0; ///< 0: no limit
    double tokens = 0;
    steady_time last{};
};

/// Consumes a token for one call. Returns false if the call exceeds the limit.
bool consume_token(rate_limit& limit, steady_time now);

struct stored_value {
    std::string value;
    std::uint64_t revision = 0;
    std::string lease; ///< empty: none
};

struct lease_record {
    std::chrono::milliseconds lifetime{};
    steady_time expires{};
};

/// Keys, revisions and leases.
struct key_value_model {
    std::map<std::string, stored_value> values;
    std::map<std::string, lease_record> leases;
    std::uint64_t revision = 0;
    std::uint64_t next_lease = 1;
};

enum class swap_status { done, conflict, no_lease };

struct swap_result {
    swap_status status = swap_status::conflict;
    std::uint64_t revision = 0; ///< new one if done, else the current one; 0: no such key
};

/// Writes the value if the key has the expected revision; 0: the key must not exist. A non-empty
/// lease must exist.
swap_result compare_and_swap(key_value_model& model, const std::string& key, std::uint64_t expected,
                             const std::string& value, const std::string& lease);
std::string grant_lease(key_value_model& model, std::chrono::milliseconds lifetime,
                        steady_time now);
/// Returns false if there is no such lease.
bool renew_lease(key_value_model& model, const std::string& lease, steady_time now);
/// Deletes the lease and its keys. Returns false if there is no such lease.
bool revoke_lease(key_value_model& model, const std::string& lease);
/// Deletes the expired leases with their keys. Returns true if there were any.
bool expire_leases(key_value_model& model, steady_time now);

} // namespace almondline::standins
