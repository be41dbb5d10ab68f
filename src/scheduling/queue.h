#pragma once

#include "scheduling/types/credit_request.h"
#include "scheduling/types/queue_config.h"
#include "scheduling/types/queue_state.h"
#include "scheduling/types/results.h"

#include <optional>
#include <string>
#include <vector>

/// Queue of the asks for one pool slice: strict tiers, floors by tier and kind as reserved dispatch
/// slots, fair shares by kind and account, account limits, shedding and deadlines. Pure: the time
/// is passed in. Every operation on one ask takes a time logarithmic in the number of accounts and
/// waiting asks.
namespace almondline::scheduling {

queue_state make_queue(queue_config config);

/// Puts the rules of a new manifest into force. Keeps waiting asks in their order and work in
/// progress; returns the asks that no longer fit max_waiting. Takes a time linear in the queue.
std::vector<shed_request> reconfigure(queue_state& queue, queue_config config, steady_time now);

/// Adds an ask, or refuses it at once with a retry-after. A full queue sheds the lowest tier first,
/// and within it the newest ask of the account furthest over its share, which may be this ask.
/// An ask that can use a free slot at once is accepted even if the queue is full; call pick() until
/// it returns nothing after each enqueue().
enqueue_result enqueue(queue_state& queue, credit_request what, const slot_view& slots,
                       steady_time now);

/// Removes and returns the next ask that may use a free slot; it is in progress until finish() or
/// put_back(). Floors with a free reserved slot come first, then the tiers in order.
std::optional<credit_request> pick(queue_state& queue, const slot_view& slots, steady_time now);

/// Ends an ask in progress and corrects the shares by its actual cost in token units. An ask that
/// was not run has the actual cost 0. Unknown ids are ignored.
void finish(queue_state& queue, const std::string& request_id, double actual_cost, steady_time now);

/// Returns an ask that pick() returned and that could not be placed to the head of its account's
/// asks. Undoes what pick() charged.
void put_back(queue_state& queue, credit_request what, steady_time now);

/// Removes a waiting ask. Returns false if it was not waiting; use finish() for work in progress.
bool cancel(queue_state& queue, const std::string& request_id, steady_time now);

/// Records work in progress that a holder reports to a new granter. Known ids are ignored. An ask
/// of this id that waits is removed from the queue.
void restore(queue_state& queue, const running_request& what, steady_time now);

/// Removes the asks that can no longer start in time, or are predicted not to. Call it at least
/// every 100 ms: a caller must not be held until its deadline.
std::vector<shed_request> expire(queue_state& queue, steady_time now);

/// False if the account of an ask that pick() returned has a backlog while others have demand: the
/// ask should leave the headroom of the fastest replicas free (request_shape::leaves_headroom).
bool may_use_headroom(const queue_state& queue, const credit_request& what, steady_time now);

bool is_waiting(const queue_state& queue, const std::string& request_id);
bool is_in_progress(const queue_state& queue, const std::string& request_id);

/// Time that an ask of this tier and account would wait if it arrived now. Zero if unknown.
std::chrono::milliseconds estimate_wait(const queue_state& queue, int tier,
                                        const std::string& account, steady_time now);

queue_status status(const queue_state& queue);

} // namespace almondline::scheduling
