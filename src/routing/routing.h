#pragma once

#include "routing/types/replica.h"
#include "routing/types/reports.h"
#include "routing/types/request_shape.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>

/// Choice among the unlike replicas of one slice. Pure: the time is passed in. Calls that name an
/// unknown replica or request are ignored, because messages are late or repeated.
namespace almondline::routing {

/// Adds a replica, or updates what the list and the manifest say of it. What was learned of its
/// speed stays unless its engine class changed.
void update_replica(replica_table& table, const replica_spec& spec, steady_time now);

/// Forgets a replica that is in no list any more.
void remove_replica(replica_table& table, const std::string& id);

/// The replica gets no further request. Its work in progress continues.
void mark_leaving(replica_table& table, const std::string& id);

/// Replicas in the set get no further request until a later call leaves them out. Replicas that
/// report the role "draining" get none either way.
void set_draining(replica_table& table, const std::set<std::string>& ids, steady_time now);

bool is_draining(const replica& of);

/// True if the replica has loaded the model, or its models are not known.
bool has_model(const replica& of, const std::string& model);

/// Requests that a replica to be unloaded may still have. Stays above 0 until the settle time has
/// passed since it began to drain and a load report from after that time shows no request: credits
/// granted before, also by a former granter, are used or expired by then.
int unfinished_requests(const replica& of, std::chrono::milliseconds settle, steady_time now);

/// The replica with the least expected time to the end of the request, or nothing if none may take
/// it now. Takes less than 10 us at 64 replicas.
std::optional<choice> choose(const replica_table& table, const request_shape& request,
                             steady_time now);

/// Slots for scheduling::slot_view. A replica that must not get work has none.
slot_counts count_slots(const replica_table& table, steady_time now);

/// A credit for the replica was granted. Counts at once.
void on_dispatch(replica_table& table, const std::string& id, const request_shape& request,
                 steady_time now);

/// Takes a dispatch back that did not happen: the credit expired or was returned unused.
void on_not_dispatched(replica_table& table, const std::string& id, const std::string& request_id,
                       steady_time now);

void on_first_token(replica_table& table, const std::string& id, const std::string& request_id,
                    steady_time now);

/// The request ended well. Learns the speeds from what was measured.
void on_finish(replica_table& table, const std::string& id, const std::string& request_id,
               const finish_report& report, steady_time now);

/// The request was cancelled: releases it without judging the replica.
void on_cancel(replica_table& table, const std::string& id, const std::string& request_id,
               steady_time now);

/// The replica did not answer, broke the connection or reported an error of its own. It is eased
/// off and probed if it fails often.
void on_failure(replica_table& table, const std::string& id, const std::string& request_id,
                steady_time now);

/// No connection to the replica could be made. It is eased off at once.
void on_unreachable(replica_table& table, const std::string& id, const std::string& request_id,
                    steady_time now);

void on_load_report(replica_table& table, const std::string& id, const load_report& report,
                    steady_time now);

/// Events already seen are skipped. A gap halves the trust in what was known before it.
void on_cache_events(replica_table& table, const std::string& id, const cache_events& events,
                     steady_time now);

/// Sequence number to ask the replica's cache events after. 0 if none was received.
std::uint64_t last_cache_event(const replica_table& table, const std::string& id);

} // namespace almondline::routing
