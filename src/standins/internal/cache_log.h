#pragma once

#include "common/clock.h"
#include "standins/internal/prefix_cache.h"

#include <deque>

namespace almondline::standins {

/// Cache events as an engine publishes them: with a delay and with gaps.
struct cache_log {
    struct event {
        std::uint64_t seq = 0;
        cache_change change;
        steady_time visible_from{};
    };
    std::chrono::milliseconds lag{};
    std::size_t max_events = 0;
    std::size_t gap_every = 0; ///< every gap_every-th event drops all earlier ones, 0: no gaps
    std::uint64_t next_seq = 1;
    std::deque<event> events;
};

void append_changes(cache_log& log, const std::vector<cache_change>& changes, steady_time now);

/// Body of GET /v1/cache/events?after=SEQ.
std::string events_json(const cache_log& log, std::uint64_t after, steady_time now);

} // namespace almondline::standins
