#pragma once

#include "routing/types/replica.h"
#include "routing/types/reports.h"
#include "routing/types/request_shape.h"

/// Load, state and expected times of one replica.
namespace almondline::routing {

/// Returns the requests in the last load report that are not own ones, discounted by its age.
double others_in_flight(const replica_table& table, const replica& server, steady_time now);

/// Returns the ratio of the replica's decode speed estimate to that of its class, at most 1. The
/// nominal speed is no reference, because prompts of other requests use a part of each engine step
/// and slow all replicas alike.
double relative_speed(const replica_table& table, const replica& server);

/// Returns the number of requests that may be in flight: fewer while the replica is slow, but at
/// least one.
int slot_limit(const replica_table& table, const replica& server);

int used_slots(const replica_table& table, const replica& server, steady_time now);

/// Returns true if a replica that has sent load reports before has own requests in flight, but has
/// shown neither progress nor a report for routing_config::unresponsive_after.
bool is_unresponsive(const replica_table& table, const replica& server, steady_time now);

/// Returns true if the replica failed or is unresponsive and gets only probes.
bool is_ejected(const replica_table& table, const replica& server, steady_time now);

/// Returns true if a single request may be sent to an ejected or slow replica to check whether it
/// has recovered.
bool is_probe_due(const replica_table& table, const replica& server, steady_time now);

/// Returns the seconds of prefill ahead of a request that is dispatched now.
double prefill_wait(const replica& server, steady_time now);

/// Returns the seconds that the output takes with this share of max_in_flight in use.
double decode_time(const replica_table& table, const replica& server, double output_tokens,
                   double batch_share);

/// Returns true if the KV cache has room for the whole request, is unlimited, or no request is in
/// flight.
bool fits_kv(const replica_table& table, const replica& server, const request_shape& request);

/// Returns the number of own requests in flight at an earlier time.
int own_in_flight_at(const replica& server, steady_time at);

/// Records the current number of own requests in flight for own_in_flight_at().
void record_in_flight(replica& server, steady_time now);

} // namespace almondline::routing
