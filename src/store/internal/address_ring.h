#pragma once

#include "common/settings.h"

#include <cstddef>
#include <utility>
#include <vector>

namespace almondline::store_internal {

/// Addresses of one service, of which one is preferred until a call to it fails.
class address_ring {
public:
    explicit address_ring(std::vector<ip_endpoint> addresses) : addresses_{std::move(addresses)} {}

    std::size_t size() const { return addresses_.size(); }
    std::size_t preferred() const { return preferred_; }
    const ip_endpoint& at(std::size_t index) const { return addresses_[index]; }
    std::size_t next(std::size_t index) const { return (index + 1) % addresses_.size(); }

    /// Prefers the next address after a call to this one failed. Concurrent failures of the same
    /// address advance the preference only once.
    void mark_failed(std::size_t index)
    {
        if (preferred_ == index) {
            preferred_ = next(index);
        }
    }

private:
    std::vector<ip_endpoint> addresses_;
    std::size_t preferred_ = 0;
};

} // namespace almondline::store_internal
