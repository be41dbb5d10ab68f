#pragma once

#include "common/clock.h"
#include "routing/types/replica.h"

namespace almondline::routing {

/// Updates the prefill speed estimate of a replica from the time to a request's first token, in
/// seconds.
void update_prefill_rate(const replica_table& table, replica& server, const dispatched_work& work,
                         double first_token, steady_time now);

/// Updates the decode speed estimates of a replica and of its class from the time that output
/// tokens took, in seconds.
void update_decode_rate(replica_table& table, replica& server, const dispatched_work& work,
                        double output_tokens, double time, steady_time now);

} // namespace almondline::routing
