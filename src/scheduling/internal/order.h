#pragma once

#include "scheduling/types/queue_state.h"

/// Bookkeeping of waiting asks and their order. Each function takes a time logarithmic in the
/// number of accounts and waiting asks.
namespace almondline::scheduling {

/// Name under which a kind is kept. All kinds that the configuration does not name share one,
/// because callers may send any text.
const std::string& kind_key(const queue_config& config, const std::string& kind);

/// The flow of an ask, created if needed. A tier out of range counts as the nearest one.
flow& find_flow(queue_state& queue, int tier, const std::string& kind, const std::string& account);

/// Adds an ask with this sequence number.
waiting_request& insert_waiting(queue_state& queue, flow& to, credit_request what,
                                std::uint64_t sequence, steady_time now);

/// Removes a waiting ask and returns it.
credit_request remove_waiting(queue_state& queue, waiting_request& entry);

/// Next ask of the tier, or of one kind in it, by start tag. Null if none is ready.
waiting_request* head_of(const tier_queue& tier, steady_time now);
waiting_request* head_of(const kind_queue& kind, steady_time now);

/// The oldest ask, or the newest once the oldest has missed its goal: serving late asks first would
/// make all of them late under overload. The flow must not be empty.
waiting_request* head_of(const flow& of, steady_time now);

/// True if the asks of the flow have waited without a break for queue_config::backlog_after.
bool has_backlog(const queue_state& queue, const flow& of, steady_time now);

/// Next ask of the tier whose flow has no backlog. Null if there is none.
waiting_request* head_without_backlog(const queue_state& queue, tier_queue& tier, steady_time now);

/// Charges a picked ask to its kind and account. A negative cost gives a charge back.
void charge_pick(flow& of, double cost);
void charge_correction(flow& of, double difference);

/// Counts an ask into or out of the work in progress.
void add_running(flow& of, double cost);
void remove_running(flow& of, double cost);

/// Takes the flows of an account out of the order while it is at its limit.
void update_block(account_state& account);

/// The ask to shed: lowest tier, account furthest over its share, newest ask. Null if none waits.
waiting_request* find_victim(const queue_state& queue);

} // namespace almondline::scheduling
