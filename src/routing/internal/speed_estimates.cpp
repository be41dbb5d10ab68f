#include "routing/internal/speed_estimates.h"

#include <algorithm>
#include <cmath>

namespace almondline::routing {

namespace {

// Estimates stay within these multiples of the nominal speed of the class, so that one wrong
// measurement cannot take a replica out of use.
constexpr double min_rate_ratio = 0.05;
constexpr double max_rate_ratio = 2.0;
// Shorter times and outputs consist mostly of network and scheduling delays and tell little about
// the speed.
constexpr double min_prefill_seconds = 0.02;
constexpr double min_output_tokens = 8;
// Expected time to the first token from which a measurement gets its full weight. A short prompt
// takes at least one step of the engine, which tells nothing about the speed of long prompts.
constexpr double full_weight_prefill_seconds = 0.5;
// Lower than the weight for a replica, so that one slow replica does not dominate its class.
constexpr double class_observation_weight = 0.03;
// Output length from which a measurement gets its full weight.
constexpr double full_weight_output_tokens = 64;

double clamp_rate(double rate, double expected)
{
    return std::clamp(rate, min_rate_ratio * expected, max_rate_ratio * expected);
}

void update_class_rate(class_speed& speed, double single_stream_rate)
{
    speed.decode_rate += class_observation_weight * (single_stream_rate - speed.decode_rate);
}

} // namespace

void update_prefill_rate(const replica_table& table, replica& server, const dispatched_work& work,
                         double first_token, steady_time now)
{
    const double expected = work.prefill_wait + work.uncached_tokens / work.prefill_rate;
    if (first_token < min_prefill_seconds || expected < min_prefill_seconds) {
        return;
    }
    // Uses a ratio because the wait ahead of the request scales with the same speed. The ratio
    // applies to the rate at dispatch: all requests in flight were expected to run at that rate,
    // and correcting the current rate would count the same error once per request.
    const double ratio = std::clamp(expected / first_token, 0.1, 4.0);
    const double weight =
        table.config.observation_weight * std::min(1.0, expected / full_weight_prefill_seconds);
    const double rate =
        server.prefill_rate * std::pow(work.prefill_rate * ratio / server.prefill_rate, weight);
    server.prefill_rate = clamp_rate(rate, server.spec.prefill_rate);
    server.last_sample = now;
}

void update_decode_rate(replica_table& table, replica& server, const dispatched_work& work,
                        double output_tokens, double time, steady_time now)
{
    if (output_tokens < min_output_tokens || time <= 0) {
        return;
    }
    const double single_stream_rate =
        output_tokens / time * (1 + table.config.batch_slowdown * work.batch_share);
    const double weight =
        table.config.observation_weight * std::min(1.0, output_tokens / full_weight_output_tokens);
    server.decode_rate =
        clamp_rate(server.decode_rate + weight * (single_stream_rate - server.decode_rate),
                   server.spec.decode_rate);
    server.last_sample = now;
    update_class_rate(table.classes[server.class_index], single_stream_rate);
}

} // namespace almondline::routing
