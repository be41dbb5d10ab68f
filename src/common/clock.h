#pragma once

#include <chrono>

namespace almondline {

using steady_time = std::chrono::steady_clock::time_point;
using system_time = std::chrono::system_clock::time_point;

/// Source of time, passed as a dependency so that tests can use a manual clock.
class clock_source {
public:
    virtual ~clock_source() = default;
    /// Monotonic time for timeouts and intervals. Asio's timers must get durations instead: their
    /// clock may stop for a while, for example during a suspend.
    virtual steady_time now() const = 0;
    /// Wall-clock time for records that other instances read.
    virtual system_time wall() const = 0;

protected:
    clock_source() = default;
    clock_source(const clock_source&) = default;
    clock_source& operator=(const clock_source&) = default;
};

/// The operating system's clocks.
class system_clock_source final : public clock_source {
public:
    steady_time now() const override;
    system_time wall() const override;
};

/// Clock for tests and simulations. Changes only through advance().
class manual_clock final : public clock_source {
public:
    steady_time now() const override { return now_; }
    system_time wall() const override { return wall_; }
    void advance(std::chrono::nanoseconds by)
    {
        now_ += std::chrono::duration_cast<steady_time::duration>(by);
        wall_ += std::chrono::duration_cast<system_time::duration>(by);
    }

private:
    // Not the epoch: a default-constructed time point means "never" in several structs.
    steady_time now_{std::chrono::hours{1}};
    system_time wall_{std::chrono::hours{24 * 365 * 50}};
};

} // namespace almondline
