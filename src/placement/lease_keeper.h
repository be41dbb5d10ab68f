#pragma once

#include "common/clock.h"
#include "store/key_value_store.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace almondline::placement {

struct lease_settings {
    std::chrono::milliseconds lifetime{10'000};
    std::chrono::milliseconds renew_interval{3'000};
    std::chrono::milliseconds retry_interval{1'000};
    /// Time between reads of a record that another instance holds.
    std::chrono::milliseconds poll_interval{5'000};
    /// No order is sent if less than this remains of the lease. Must exceed the time an order can
    /// take.
    std::chrono::milliseconds order_margin{2'000};
};

/// Holds a record in the store under a lease. Driven by tick() and the store's handlers on the
/// control thread. The fencing token combines the store's era and the record's revision, so that it
/// increases across restores.
///
/// The lifetime of the lease is measured on the local monotonic clock from just before the call
/// that granted or renewed it was sent, so that the lease expires here before it expires in the
/// store.
class lease_keeper {
public:
    /// The store and the clock must outlive the object.
    lease_keeper(key_value_store& store, const clock_source& clock, std::string key,
                 std::string instance_id, lease_settings settings);
    ~lease_keeper();
    lease_keeper(const lease_keeper&) = delete;
    lease_keeper& operator=(const lease_keeper&) = delete;

    /// Acquires or renews the lease. Must be called several times a second.
    void tick(steady_time now);
    /// With false, releases the lease and does not acquire it until the instance is a candidate
    /// again. For draining instances, and to limit how many instances poll the record.
    void set_candidate(bool is_candidate);
    /// Releases the lease because another holder exists.
    void step_down(const std::string& reason);

    /// Returns true if the record is held. This alone does not permit sending orders.
    bool is_held() const;
    /// Returns true if an order may be sent now: the record is held, more than order_margin of the
    /// lease remains, and a lease lifetime plus the margin has passed since the record was
    /// acquired. By then, a former holder's orders have expired, which protects engines that ignore
    /// the fencing token.
    bool may_send_orders(steady_time now) const;
    /// Returns the fencing token; 0 if the record is not held.
    std::uint64_t fencing() const;
    /// Return holder and revision of the record when it was last read; empty and 0 if there was no
    /// record.
    std::string seen_holder() const;
    std::uint64_t seen_fencing() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace almondline::placement
