// Messages between entry instances. New fields get new numbers; numbers must never be reused.
namespace cpp almondline.wire

// First message on each connection, in both directions.
struct hello {
  1: required i32 protocol_version,
  2: required string instance_id,
  3: required i64 incarnation,
  4: optional string failure_domain,
}

enum member_state { alive = 1, suspect = 2, dead = 3, leaving = 4 }

struct member_update {
  1: required string instance_id,
  2: required i64 incarnation,
  3: required member_state state,
  4: optional string peer_address,
  5: optional string caller_address,
  6: optional string failure_domain,
  7: optional i64 manifest_version,
  // Incremented by the member itself to refute a suspicion.
  8: optional i64 refutation,
  // Processor cores that the member may use, in thousandths.
  9: optional i32 millicores,
}

struct probe {
  1: required i64 nonce,
  2: optional list<member_update> updates,
  // Instance that the receiver should probe on behalf of the sender.
  3: optional string indirect_target,
}

struct probe_ack {
  1: required i64 nonce,
  2: optional list<member_update> updates,
  // Set if the ack reports on an indirect probe: the instance that answered.
  3: optional string indirect_target,
}

struct manifest_announcement {
  1: required i64 version,
  2: required string digest,
  // Digest of the text that the patch applies to.
  3: optional string base_digest,
  // Zstandard frames that turn the base into the announced text, if they are short.
  4: optional binary patch,
  // The sender does not serve the receiver's request now.
  5: optional bool busy,
}

struct manifest_request {
  1: required i64 version,
  // Digest of the text that the sender holds, empty for none. If unset, the sender only understands
  // uncompressed bodies.
  2: optional string base_digest,
  // The sender no longer waits for the body that it requested before.
  3: optional bool cancelled,
  // The sender has the chunks of the text with this digest before first_chunk.
  4: optional string resumed_digest,
  5: optional i32 first_chunk,
}

struct manifest_body {
  1: required i64 version,
  2: required string digest,
  3: required i32 chunk,
  4: required i32 chunk_count,
  5: required string data,
  // Set if the joined chunks are Zstandard frames, not the text: digest of the text that they apply
  // to, empty for none.
  6: optional string base_digest,
}

struct ask_message {
  1: required string request_id,
  2: required string pool,
  3: required i32 tier,
  4: required string account,
  5: required string kind,
  6: required double cost,
  7: required i64 deadline_ms,          // time left until the deadline
  8: required i64 estimated_service_ms,
  9: optional list<i64> prefix_blocks,
  10: optional double prompt_tokens,
  11: optional double output_tokens,
  12: optional bool resent,
  // Backend servers that must not get this request again.
  13: optional list<string> excluded,
  14: optional string model,
  // Tokens that count against the account's allowance.
  15: optional double allowance_cost,
  // Time left until the request misses its latency objective.
  16: optional i64 goal_ms,
  // Time left until the response has to be complete.
  17: optional i64 complete_ms,
  // Prompt tokens up to the end of each prefix block. If unset, all blocks have the same size.
  18: optional list<i32> prefix_tokens,
  // Fingerprints of the parts of the prompt that other requests may share, whatever comes before
  // them, and of the whole request, which has the highest bit set.
  19: optional list<i64> prompt_parts,
}

// State of a slice as its granter sees it. Attached to its answers if the service is divided.
struct slice_load {
  1: required i32 slots,
  2: required i32 free_slots,
  // Waiting requests by tier, the most urgent first. Trailing zeros are left out.
  3: optional list<i32> waiting,
  // Least urgent tier that has requests in progress. Unset: none.
  4: optional i32 lowest_running,
}

struct grant_message {
  1: required string request_id,
  2: required string pool,
  3: required string credit_id,
  4: required string backend_id,
  5: required string backend_address,
  6: required i64 lifetime_ms,
  7: optional string reason,
  8: optional list<string> candidates,  // "id=score" of each backend server considered
  // The granter limits the requests to the backend server because it advertised a request rate. The
  // holder reports whether its response still does.
  9: optional bool rate_limited,
  // Requests with something that this one contains crashed backend servers. The holder reports when
  // its response has begun without a crash.
  10: optional bool start_awaited,
  11: optional slice_load load,
}

struct refusal_message {
  1: required string request_id,
  2: required string pool,
  3: required string code,
  4: required string message,
  5: required i64 retry_after_ms,
  6: optional slice_load load,
}

// The holder dispatched the request under this credit.
struct confirm_message {
  1: required string request_id,
  2: required string pool,
  3: required string credit_id,
}

enum release_outcome { finished = 1, not_dispatched = 2, failed = 3, cancelled = 4, unreachable = 5 }

struct release_message {
  1: required string request_id,
  2: required string pool,
  3: required string credit_id,
  4: required release_outcome outcome,
  5: optional double actual_cost,
  6: optional i64 first_token_ms,
  7: optional i64 duration_ms,
  8: optional double prompt_tokens,
  9: optional double output_tokens,
  10: optional string backend_id,
  // The backend server announced in its response that it is leaving.
  11: optional bool server_leaving,
  // The backend server crashed when it started to answer the request: the request's fingerprints.
  12: optional list<i64> crashed_parts,
}

struct cancel_message {
  1: required string request_id,
  2: required string pool,
}

struct holding {
  1: required string request_id,
  2: required string credit_id,
  3: required string backend_id,
  4: required double cost,
  5: required i32 tier,
  6: required string account,
  7: required string kind,
  8: optional string model,
}

// Requests per second that a backend server accepts from all instances together.
struct advertised_rate {
  1: required string backend_id,
  2: required double requests_per_second,
  // Time since a response last advertised it.
  3: required i64 age_ms,
}

// Requests in progress that a holder reports to a new granter.
struct holdings_message {
  1: required string pool,
  2: required list<holding> holdings,
  // Rates that backend servers of the pool advertised in responses to this holder.
  3: optional list<advertised_rate> rates,
}

// What a backend server reports about itself in the header of a response. Sent when the header
// arrives, because a stream may last much longer.
struct server_report_message {
  1: required string pool,
  2: required string request_id,
  3: required string credit_id,
  4: required string backend_id,
  5: optional bool leaving,
  // Unset: the response advertises no rate.
  6: optional double requests_per_second,
}

// The response of a request has begun, and its backend server has not crashed by that.
struct start_message {
  1: required string pool,
  2: required string request_id,
  3: required string credit_id,
}

enum claim_status { claimed = 1, duplicate = 2, refused = 3, unknown = 4 }

// Requests a claim of a caller-chosen idempotency key from the owner of its key range, before the
// request is dispatched.
struct claim_message {
  1: required string claim_id,
  2: required string account,
  3: required string key_hash,
  4: required string holder,
  5: required i64 holder_incarnation,
  6: required string request_id,
}

struct claim_reply {
  1: required string claim_id,
  2: required claim_status status,
  3: optional string holder,
  4: optional i64 holder_incarnation,
  5: optional string request_id,
  6: optional string message,
  // Only for a duplicate: id of the recorded claim.
  7: optional string recorded_claim_id,
}

// Requests the recorded outcome of a claimed key from its holder.
struct outcome_query {
  1: required string query_id,
  2: required string account,
  3: required string key_hash,
  // Hash of the request body that arrived with the key this time.
  4: optional string body_hash,
  // Id of the recorded claim. The holder may have started again with another claim.
  5: optional string claim_id,
}

struct outcome_reply {
  1: required string query_id,
  2: required bool is_known,
  3: optional bool is_finished,
  4: optional i32 http_status,
  5: optional string content_type,
  6: optional string body,
  7: optional string verdict,
  // The key was used with a different request.
  8: optional bool is_other_body,
}

struct explain_query {
  1: required string query_id,
  2: required string request_id,
}

struct explain_reply {
  1: required string query_id,
  2: required list<string> lines,
}

// Work of one account in one tier for one model. Costs are in token units.
struct model_load {
  1: required string model,
  2: required i32 tier,
  // Empty for several accounts together.
  3: required string account,
  4: required double waiting_cost,
  5: required double running_cost,
  6: required i32 waiting,
  7: required i32 running,
}

// A replica as its granter sees it.
struct replica_load {
  1: required string replica_id,
  2: required string address,
  3: required string failure_domain,
  4: required list<string> models,
  5: required i32 in_flight,
  6: required i32 max_in_flight,
  // The granter grants no requests to it because it is going to be unloaded.
  7: required bool draining,
  8: required bool leaving,
}

// Sent by a granter to the instances that may control placement.
struct pool_demand {
  1: required string pool,
  2: required list<model_load> loads,
  3: required list<replica_load> replicas,
}

// Sent by the holder of the placement lease to the granter of a pool: replicas that must get no
// requests.
// Replaces the previous notice, and expires unless it is repeated.
struct drain_notice {
  1: required string pool,
  2: required i64 fencing,
  3: required list<string> replicas,
}

// Requests the list of backend servers from another instance, if the sender can't read it or the
// receiver watches it for the sender.
struct server_list_request {
  1: required i64 known_revision,
  // Era of the list's service, to which the revision belongs. It rises when the service returns from
  // an older copy.
  2: optional i64 known_era,
}

struct listed_server {
  1: required string id,
  2: required string service_name,
  3: required string address,
  4: required string failure_domain,
  5: required i64 incarnation,
  6: required i32 max_in_flight,
  7: required bool leaving,
  // Number of the server's last known report, 0 if unknown.
  8: optional i64 report_number,
}

struct server_list_reply {
  1: required i64 revision,
  // Time since the sender last knew this list to be up to date.
  2: required i64 age_ms,
  // The requester already has this revision, or the sender is not sure that its list is complete.
  // The list of servers is empty.
  3: required bool unchanged,
  4: required list<listed_server> servers,
  // The sender can't read the list, or is not sure that it is complete.
  5: optional bool unreliable,
  // Era of the list's service, to which the revision belongs.
  6: optional i64 era,
}

// A crash of a backend server while it started to answer a request with these prompt parts.
struct server_crash {
  1: required string backend_id,
  2: required list<i64> prompt_parts,
  3: optional i64 ms_ago,  // unset: it was just noticed
}

// Crashes that a holder reported to a former owner of the pool, for the new one.
struct crash_history {
  1: required string pool,
  2: required list<server_crash> crashes,
}

// Whether requests with a prompt part are kept away from the backend servers of a service. Times
// are relative to the moment of sending.
struct part_decision {
  1: required i64 part,
  2: required bool quarantined,
  3: required i64 decided_ms_ago,
  // Time since a request with the part last arrived.
  4: required i64 seen_ms_ago,
  // Time until one request with the part may run as a trial; negative if it is due.
  5: required i64 trial_in_ms,
  6: required i64 trial_interval_ms,
  // Quarantined parts that could not be told apart from this one: one of them is the cause.
  7: optional list<i64> rivals,
}

// Sent to some instances every second while a decision is in force, and at once when one is made.
struct quarantine_message {
  1: required string service_name,
  2: required list<part_decision> decisions,
  // For the granters of the service's other slices.
  3: optional list<server_crash> crashes,
}

// Exactly one field is set.
union envelope {
  1: hello greeting,
  2: probe ping,
  3: probe_ack ping_ack,
  4: manifest_announcement announcement,
  5: manifest_request body_request,
  6: manifest_body body,
  7: ask_message ask,
  8: grant_message grant,
  9: refusal_message refusal,
  10: confirm_message confirmation,
  11: release_message release,
  12: cancel_message cancel,
  13: holdings_message holdings,
  14: claim_message claim,
  15: claim_reply claimed,
  16: outcome_query query,
  17: outcome_reply outcome,
  18: explain_query explain,
  19: explain_reply explained,
  20: pool_demand demand,
  21: drain_notice drain,
  22: server_list_request servers_request,
  23: server_list_reply servers,
  24: server_report_message server_report,
  25: quarantine_message quarantine,
  26: start_message start,
  27: crash_history crashes,
}
