#include "gateway/stop_schedule.h"

#include "gateway/internal/durations.h"

namespace almondline::gateway {

namespace {

/// Shares of the limit.
constexpr double accepting_share = 0.3;
constexpr double answering_share = 0.875;
/// The rest is left for a process that gets little processor time.
constexpr double running_share = 0.95;

} // namespace

bool is_stopping(const stop_schedule& schedule)
{
    return schedule.started.has_value();
}

bool accepts_requests(const stop_schedule& schedule, steady_time now)
{
    return !schedule.started || now <= *schedule.started + scaled(schedule.limit, accepting_share);
}

std::optional<steady_time> answer_by(const stop_schedule& schedule)
{
    if (!schedule.started) {
        return std::nullopt;
    }
    return *schedule.started + scaled(schedule.limit, answering_share);
}

bool must_exit(const stop_schedule& schedule, steady_time now)
{
    return schedule.started && now > *schedule.started + scaled(schedule.limit, running_share);
}

} // namespace almondline::gateway
