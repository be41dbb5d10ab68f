#pragma once

#include "common/clock.h"
#include "store/key_value_store.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace almondline::fleet {

struct registration_settings {
    std::string key;
    std::string value;
    std::chrono::milliseconds lifetime{6'000}; ///< of the lease; the record expires with it
    std::chrono::milliseconds renew_interval{2'000};
    std::chrono::milliseconds retry_interval{300};
    /// Average time between two instances that write their records again after the store returned
    /// from an older copy.
    std::chrono::milliseconds restore_interval{5};
};

/// Keeps a record of this instance in the store under a lease, so that other instances can find it.
/// Runs on the control thread.
class registration {
public:
    /// The store and the clock must outlive the registration.
    registration(registration_settings settings, key_value_store& store, const clock_source& clock);

    /// Makes the next store call if one is due. Must be called every 50 to 100 ms.
    void tick(steady_time now);
    /// Revokes the lease, which removes the record.
    void withdraw();
    /// Sets the number of instances that register.
    void set_fleet_size(std::size_t size) { fleet_size_ = size; }
    bool is_registered() const { return is_written_; }

private:
    void request_lease();
    void write();
    void on_written(const put_result& result);
    void restart_after_restore(steady_time now);
    void renew();
    void on_failure(const std::string& step, const std::string& cause);

    registration_settings settings_;
    key_value_store& store_;
    const clock_source& clock_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< expires with this object
    std::string lease_id_;
    std::uint64_t lease_era_ = 0;       ///< of the store when it granted the lease
    std::uint64_t record_revision_ = 0; ///< of an earlier record that the next write replaces
    std::size_t fleet_size_ = 1;
    bool is_written_ = false;
    bool is_calling_ = false;
    bool is_withdrawn_ = false;
    bool has_failed_ = false;
    steady_time next_call_{};
};

} // namespace almondline::fleet
