#pragma once

#include "common/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace almondline::standins {

/// Wakes coroutines that wait for a change. Not thread-safe.
class wait_signal {
public:
    /// Returns after the next notify() or at the deadline.
    boost::asio::awaitable<void> wait_until(steady_time deadline);
    void notify();

private:
    std::set<boost::asio::steady_timer*> waiting_;
};

} // namespace almondline::standins
