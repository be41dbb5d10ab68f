#pragma once

#include "store/tests/fake_key_value_store.h"

#include <string>

namespace almondline::bench {

/// Valid manifest with client accounts of five keys each.
std::string make_manifest_text(int accounts);

/// Store calls by kind. A pending watch counts as one call each time it is started.
struct store_call_counts {
    double gets = 0;
    double watches = 0;
    double writes = 0;
    double lease_calls = 0;
};

/// Store in memory that counts the calls of one instance, or of several that share it.
class counting_store final : public key_value_store {
public:
    explicit counting_store(fake_key_value_store& to) : to_{to} {}

    void get(const std::string& key, get_handler handler) override
    {
        ++counts.gets;
        to_.get(key, std::move(handler));
    }
    void watch(const std::string& key, std::uint64_t after_revision, std::chrono::milliseconds wait,
               get_handler handler) override
    {
        ++counts.watches;
        to_.watch(key, after_revision, wait, std::move(handler));
    }
    void compare_and_swap(const std::string& key, std::uint64_t expected_revision,
                          const std::string& value, const std::string& lease_id,
                          put_handler handler) override
    {
        ++counts.writes;
        to_.compare_and_swap(key, expected_revision, value, lease_id, std::move(handler));
    }
    void grant_lease(std::chrono::milliseconds lifetime, lease_handler handler) override
    {
        ++counts.lease_calls;
        to_.grant_lease(lifetime, std::move(handler));
    }
    void renew_lease(const std::string& lease_id, lease_handler handler) override
    {
        ++counts.lease_calls;
        to_.renew_lease(lease_id, std::move(handler));
    }
    void revoke_lease(const std::string& lease_id, lease_handler handler) override
    {
        ++counts.lease_calls;
        to_.revoke_lease(lease_id, std::move(handler));
    }

    store_call_counts counts;

private:
    fake_key_value_store& to_;
};

} // namespace almondline::bench
