#pragma once

#include "routing/types/replica.h"
#include "routing/types/reports.h"
#include "routing/types/request_shape.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>

/// Chooses among the replicas of one pool slice, which may differ in speed and capacity. Pure: the
/// time is passed in. Calls with an unknown replica or request are ignored, because messages may be
/// delayed or duplicated.
namespace almondline::routing {

/// Adds a replica, or updates its description from the instance list and the manifest. Speed
/// estimates are kept unless its engine class or its nominal speed changed.
void update_replica(replica_table& table, const replica_spec& spec, steady_time now);

/// Removes a replica that is no longer listed.
void remove_replica(replica_table& table, const std::string& id);

/// Stops sending new requests to a replica. Its requests in flight continue.
void mark_leaving(replica_table& table, const std::string& id);

/// Applies the request rate that a replica reports in a response, or empty if it reports none. The
/// credit of the request was issued at the given time. Returns true if the rate has changed.
bool on_advertised_rate(replica_table& table, const std::string& id,
                        std::optional<double> per_second, steady_time issued, steady_time now);

/// Applies a request rate that another instance remembers. Ignored if the table knows something
/// later. Returns true if the rate has changed.
bool restore_rate(replica_table& table, const std::string& id, const advertised_rate& rate,
                  steady_time now);

/// Returns true if requests to the replica are limited to a rate that it advertised.
bool is_rate_limited(const replica_table& table, const std::string& id);

/// Stops sending new requests to exactly the replicas in the set, until a later call omits them.
/// Replicas that report the role "draining" get none either way.
void set_draining(replica_table& table, const std::set<std::string>& ids, steady_time now);

bool is_draining(const replica& server);

/// Returns true if the replica has loaded the model, its models are unknown, or the model is empty.
bool has_model(const replica& server, const std::string& model);

/// Returns the number of requests that a replica may still have. For a draining replica it stays
/// above 0 until the settle time has passed since the start of the drain and, if the replica
/// reports its load, a report taken after that shows no requests. By then all credits granted
/// before the drain, also by a former granter, have been used or have expired.
int unfinished_requests(const replica& server, std::chrono::milliseconds settle, steady_time now);

/// Returns the replica with the lowest score for the request (weighted expected times plus
/// penalties), or nothing if no replica may take it now. Replicas due for a probe go first. Takes
/// less than 10 us with 64 replicas.
std::optional<choice> choose(const replica_table& table, const request_shape& request,
                             steady_time now);

/// Counts the slots for scheduling::slot_view. A replica that must not get requests has none.
slot_counts count_slots(const replica_table& table, steady_time now);

/// Records that a credit for the replica was granted. It counts as load at once.
void on_dispatch(replica_table& table, const std::string& id, const request_shape& request,
                 steady_time now);

/// Reverts on_dispatch() for a request that was not dispatched: its credit expired or was returned
/// unused. It does not count against the rate that the replica advertises.
void on_not_dispatched(replica_table& table, const std::string& id, const std::string& request_id,
                       steady_time now);

/// Records the first token of a request and updates the prefill speed estimate.
void on_first_token(replica_table& table, const std::string& id, const std::string& request_id,
                    steady_time now);

/// Records that a request succeeded, and updates the speed estimates from the measurements.
void on_finish(replica_table& table, const std::string& id, const std::string& request_id,
               const finish_report& report, steady_time now);

/// Releases a cancelled request. Counts neither as a success nor as a failure of the replica.
void on_cancel(replica_table& table, const std::string& id, const std::string& request_id,
               steady_time now);

/// Records that the replica did not respond, closed the connection early or returned an error of
/// its own. A replica that fails often is ejected and then probed.
void on_failure(replica_table& table, const std::string& id, const std::string& request_id,
                steady_time now);

/// Records that connecting to the replica failed, and ejects it at once.
void on_unreachable(replica_table& table, const std::string& id, const std::string& request_id,
                    steady_time now);

/// Applies a load report. Of a report taken before the last one, only the arrival and is_leaving
/// are recorded.
void on_load_report(replica_table& table, const std::string& id, const load_report& report,
                    steady_time now);

/// Applies cache events. Events that were already applied are skipped. After a gap in the sequence,
/// blocks known from before it count half.
void on_cache_events(replica_table& table, const std::string& id, const cache_events& events,
                     steady_time now);

/// Returns the sequence number of the last cache event of the replica, from which to continue
/// reading. 0 if none was received.
std::uint64_t last_cache_event(const replica_table& table, const std::string& id);

} // namespace almondline::routing
