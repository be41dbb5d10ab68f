#pragma once

#include "store/tests/fake_key_value_store.h"

#include <string>

namespace almondline::bench {

/// Returns a valid manifest with the given number of client accounts, five keys each.
std::string make_manifest_text(int accounts);

/// Store calls by kind. A watch counts as one call each time it is started.
struct store_call_counts {
    double gets = 0;
    double watches = 0;
    double writes = 0;
    double lease_calls = 0;
};

/// In-memory store that counts the calls of one instance, or of several that share it.
class counting_store final : public key_value_store {
public:
    explicit counting_store(fake_key_value_store& store) : store_{store} {}

    void get(const std::string& key, get_handler handler) override
    {
        ++counts.gets;
        store_.get(key, std::move(handler));
    }
    void watch(const std::string& key, std::uint64_t after_revision, std::chrono::milliseconds wait,
               get_handler handler) override
    {
        ++counts.watches;
        store_.watch(key, after_revision, wait, std::move(handler));
    }
    void compare_and_swap(const std::string& key, std::uint64_t expected_revision,
                          const std::string& value, const std::string& lease_id,
                          put_handler handler) override
    {
        ++counts.writes;
        store_.compare_and_swap(key, expected_revision, value, lease_id, std::move(handler));
    }
    void grant_lease(std::chrono::milliseconds lifetime, lease_handler handler) override
    {
        ++counts.lease_calls;
        store_.grant_lease(lifetime, std::move(handler));
    }
    void renew_lease(const std::string& lease_id, lease_handler handler) override
    {
        ++counts.lease_calls;
        store_.renew_lease(lease_id, std::move(handler));
    }
    void revoke_lease(const std::string& lease_id, lease_handler handler) override
    {
        ++counts.lease_calls;
        store_.revoke_lease(lease_id, std::move(handler));
    }

    store_call_counts counts;

private:
    fake_key_value_store& store_;
};

} // namespace almondline::bench
