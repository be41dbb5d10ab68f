#include "gateway/event_times.h"

#include "gateway/internal/durations.h"

#include <algorithm>

namespace almondline::gateway {

void note_event(event_times& times, steady_time now)
{
    if (times.last) {
        const auto gap = since(*times.last, now);
        times.longest_gap = std::max(gap, times.longest_gap.value_or(gap));
    }
    times.first = times.first.value_or(now);
    times.last = now;
}

} // namespace almondline::gateway
