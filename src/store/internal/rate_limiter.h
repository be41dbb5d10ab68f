#pragma once

#include "common/clock.h"

#include <algorithm>
#include <chrono>

namespace almondline::store_internal {

/// Token bucket.
class rate_limiter {
public:
    rate_limiter(double per_second, double burst, steady_time now)
        : per_second_{per_second}, burst_{burst}, tokens_{burst}, last_{now}
    {
    }

    bool try_consume(steady_time now)
    {
        refill(now);
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

    /// For calls that must not be throttled. The balance may become negative, so that later calls
    /// are throttled instead.
    void consume(steady_time now)
    {
        refill(now);
        tokens_ -= 1;
    }

private:
    void refill(steady_time now)
    {
        const std::chrono::duration<double> passed = now - last_;
        tokens_ = std::min(burst_, tokens_ + passed.count() * per_second_);
        last_ = now;
    }

    double per_second_;
    double burst_;
    double tokens_;
    steady_time last_;
};

} // namespace almondline::store_internal
