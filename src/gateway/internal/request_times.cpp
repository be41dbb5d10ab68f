#include "gateway/internal/request_times.h"

#include "gateway/internal/durations.h"

#include <algorithm>

namespace almondline::gateway {

using std::chrono::milliseconds;

namespace {

milliseconds silence_limit(milliseconds target, double factor, const flow_limits& limits)
{
    return std::max(limits.min_response_timeout, scaled(target, factor));
}

/// Returns the time that the request may take once it is dispatched.
milliseconds service_time(const request_state& request, const answer_time_table& answer_times)
{
    const auto size = request.received.size.value_or(call_size{});
    const auto limit = since(request.started, request.deadline);
    const auto expected =
        expected_time(answer_times, request.route->name,
                      request.received.expected_output_tokens.value_or(size.max_output_tokens));
    return std::min(limit, expected.value_or(limit));
}

} // namespace

milliseconds time_left(const request_state& request, steady_time now)
{
    return std::max(milliseconds{0}, since(now, request.deadline));
}

milliseconds io_timeout(const request_state& request, const flow_limits& limits, steady_time now)
{
    return time_left(request, now) + limits.io_timeout_margin;
}

milliseconds silence_limit_before_response(const route_policy& route, const flow_limits& limits)
{
    return silence_limit(route.target_latency, limits.latency_timeout_factor, limits);
}

milliseconds silence_limit_between_events(const route_policy& route, const flow_limits& limits)
{
    return silence_limit(route.target_gap, limits.gap_timeout_factor, limits);
}

steady_time latest_dispatch(const request_state& request, const answer_time_table& answer_times,
                            const stop_schedule& stop)
{
    const auto by = answer_by(stop);
    return by ? std::min(request.deadline, *by - service_time(request, answer_times))
              : request.deadline;
}

steady_time latest_end(const request_state& request, const answer_time_table& answer_times,
                       const stop_schedule& stop, bool is_dispatched)
{
    const auto by = answer_by(stop);
    if (!by) {
        return request.deadline;
    }
    return is_dispatched ? std::min(request.deadline, *by)
                         : latest_dispatch(request, answer_times, stop);
}

} // namespace almondline::gateway
