#include "routing/internal/learning.h"

#include <algorithm>
#include <cmath>

namespace almondline::routing {

namespace {

// Learned speeds stay within these multiples of the speed expected of the class, so that one
// mistaken measurement cannot take a replica out of use.
constexpr double slowest = 0.05;
constexpr double fastest = 2.0;
// Shorter times consist mostly of network and scheduling delays and say little of the speed.
constexpr double min_learned_prefill = 0.02;
constexpr double min_learned_output = 8;
// Expected s to the first token from which on a measurement counts fully. A short prompt takes at
// least one step of the engine, which says nothing of the speed of long ones.
constexpr double full_weight_prefill = 0.5;
// Slower than that of a replica, so that one slow replica does not pass for the class.
constexpr double class_learning_rate = 0.03;
// Outputs from this length on count fully.
constexpr double full_weight_output = 64;

double within(double rate, double expected)
{
    return std::clamp(rate, slowest * expected, fastest * expected);
}

void learn_class(class_speed& of, double alone)
{
    of.decode_rate += class_learning_rate * (alone - of.decode_rate);
}

} // namespace

void learn_prefill(const replica_table& table, replica& of, const dispatched_work& work,
                   double first_token, steady_time now)
{
    const double expected = work.prefill_wait + work.uncached_tokens / work.prefill_rate;
    if (first_token < min_learned_prefill || expected < min_learned_prefill) {
        return;
    }
    // By ratio, because the wait ahead of the request scales with the same speed; to the rate at
    // its dispatch, because all requests in flight expected that one and would correct it
    // repeatedly.
    const double ratio = std::clamp(expected / first_token, 0.1, 4.0);
    const double weight =
        table.config.learning_rate * std::min(1.0, expected / full_weight_prefill);
    const double rate =
        of.prefill_rate * std::pow(work.prefill_rate * ratio / of.prefill_rate, weight);
    of.prefill_rate = within(rate, of.spec.prefill_rate);
    of.last_sample = now;
}

void learn_decode(replica_table& table, replica& of, const dispatched_work& work,
                  double output_tokens, double time, steady_time now)
{
    if (output_tokens < min_learned_output || time <= 0) {
        return;
    }
    const double alone =
        output_tokens / time * (1 + table.config.batch_slowdown * work.batch_share);
    const double weight =
        table.config.learning_rate * std::min(1.0, output_tokens / full_weight_output);
    of.decode_rate =
        within(of.decode_rate + weight * (alone - of.decode_rate), of.spec.decode_rate);
    of.last_sample = now;
    learn_class(table.classes[of.class_index], alone);
}

} // namespace almondline::routing
