#pragma once

#include "scheduling/types/queue_state.h"

/// Bookkeeping of waiting requests and their order. Each function takes time logarithmic in the
/// number of accounts and waiting requests.
namespace almondline::scheduling {

/// Returns the key under which a kind is stored. All kinds that are not configured share one key,
/// because callers may send any text.
const std::string& kind_key(const queue_config& config, const std::string& kind);

/// Returns the flow for a request, created if needed. A tier out of range is clamped.
account_flow& find_flow(queue_state& queue, int tier, const std::string& kind,
                        const std::string& account);

/// Adds a request with this sequence number.
waiting_request& insert_waiting(queue_state& queue, account_flow& flow, credit_request request,
                                std::uint64_t sequence, steady_time now);

/// Removes a waiting request and returns it.
credit_request remove_waiting(queue_state& queue, waiting_request& entry);

/// Returns the next request of the tier, or of one kind in it, by start tag. Null if none is ready.
waiting_request* head_of(const tier_queue& tier, steady_time now);
waiting_request* head_of(const kind_queue& kind, steady_time now);

/// Returns the flow's oldest request if it can still meet its latency objective. Otherwise returns
/// the newest if that one can, because serving late requests first would make all of them late
/// under overload. Returns the oldest if both are late. The flow must not be empty.
waiting_request* head_of(const account_flow& flow, steady_time now);

/// Returns true if the flow has been non-empty for longer than queue_config::backlog_after.
bool has_backlog(const queue_state& queue, const account_flow& flow, steady_time now);

/// Returns the next request of the tier whose flow has no backlog. Null if there is none.
waiting_request* head_without_backlog(const queue_state& queue, tier_queue& tier, steady_time now);

/// Charges a picked request to its kind and account.
void charge_pick(account_flow& flow, double cost);
/// Corrects the charge of a request by a difference in cost. A negative difference reduces it.
void charge_correction(account_flow& flow, double difference);

/// Adds a request to or removes it from the counts of requests in progress.
void add_running(account_flow& flow, double cost);
void remove_running(account_flow& flow, double cost);

/// Deactivates the flows of an account that has reached its limit, and reactivates them once it is
/// below the limit.
void update_blocked_state(account_state& account);

/// Returns the request to shed: the newest of the account furthest over its share in the lowest
/// tier that has any. Null if none waits.
waiting_request* find_victim(const queue_state& queue);

} // namespace almondline::scheduling
