#pragma once

#include "routing/types/replica.h"
#include "routing/types/reports.h"
#include "routing/types/request_shape.h"

/// Expectations for one replica.
namespace almondline::routing {

/// Requests of others in the last load report, less the older the report is.
double others_in_flight(const replica_table& table, const replica& of, steady_time now);

/// Learned decode speed over the one learned for its class, at most 1. Not over the expected one:
/// prompts of other requests take part of each step, which slows all replicas alike.
double relative_speed(const replica_table& table, const replica& of);

/// Requests that may be in flight. Fewer while it is slow, at least one.
int slot_limit(const replica_table& table, const replica& of);

int used_slots(const replica_table& table, const replica& of, steady_time now);

/// It has work of ours, used to report its load, and nothing was heard of it.
bool is_silent(const replica_table& table, const replica& of, steady_time now);

/// Failed or silent: only single requests go to it.
bool is_ejected(const replica_table& table, const replica& of, steady_time now);

/// A single request may be sent to find out whether it works, or works faster, again.
bool is_probe_due(const replica_table& table, const replica& of, steady_time now);

/// s of prefill ahead of a request that is dispatched now.
double prefill_wait(const replica& of, steady_time now);

/// s that the output takes with this share of max_in_flight in use.
double decode_time(const replica_table& table, const replica& of, double output_tokens,
                   double batch_share);

bool fits_kv(const replica_table& table, const replica& of, const request_shape& request);

/// Own work in progress at an earlier time.
int own_in_flight_at(const replica& of, steady_time at);

void record_in_flight(replica& of, steady_time now);

} // namespace almondline::routing
