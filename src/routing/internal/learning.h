#pragma once

#include "common/clock.h"
#include "routing/types/replica.h"

namespace almondline::routing {

/// Learns the prefill speed of a replica from the time to a request's first token, in s.
void learn_prefill(const replica_table& table, replica& of, const dispatched_work& work,
                   double first_token, steady_time now);

/// Learns the speed of a replica, and of its class, from the time that output tokens took, in s.
void learn_decode(replica_table& table, replica& of, const dispatched_work& work,
                  double output_tokens, double time, steady_time now);

} // namespace almondline::routing
