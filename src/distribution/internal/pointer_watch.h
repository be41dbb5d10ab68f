#pragma once

#include "common/clock.h"
#include "store/key_value_store.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace almondline::distribution {

/// Settings of the watch on the pointer record.
struct watch_config {
    std::string key = "manifest/current";
    std::chrono::milliseconds wait{30'000}; ///< maximum duration of a watch, one store call each
    /// Pause before the next watch while the record does not exist: the service may answer a watch
    /// of a missing key immediately.
    std::chrono::milliseconds missing_interval{1000};
    std::chrono::milliseconds first_backoff{200};
    std::chrono::milliseconds max_backoff{10'000};
};

/// Keeps one watch of a key pending while active. Backs off with jitter after failures.
class pointer_watch {
public:
    /// Handles a new revision of the record and reports through done whether it could be used. If
    /// not, the same revision is delivered again after a back-off.
    using record_handler =
        std::function<void(const get_result& record, std::function<void(bool)> done)>;

    pointer_watch(key_value_store& store, const clock_source& clock, watch_config config,
                  std::uint64_t seed, record_handler handler);

    /// Starts a watch if is_active is true, none is pending and the back-off has elapsed.
    void tick(bool is_active, steady_time now);
    /// Returns true once a record was used or the store reported that there is none.
    bool is_read() const { return is_read_; }
    std::uint64_t calls() const { return calls_; }
    std::uint64_t failures() const { return failures_; }

private:
    void on_answer(const get_result& answer, bool is_watch);
    void end_call();
    void back_off(const std::string& cause);

    key_value_store& store_;
    const clock_source& clock_;
    watch_config config_;
    std::mt19937_64 random_;
    record_handler handler_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< lets handlers detect destruction
    std::uint64_t revision_ = 0;                            ///< last record that was used
    std::uint64_t era_ = 0; ///< of the store, to which revision_ belongs
    std::chrono::milliseconds backoff_{0};
    steady_time next_try_;
    bool is_pending_ = false;
    bool is_read_ = false;
    std::uint64_t calls_ = 0;
    std::uint64_t failures_ = 0;
};

} // namespace almondline::distribution
