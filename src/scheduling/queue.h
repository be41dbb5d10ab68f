#pragma once

#include "scheduling/types/credit_request.h"
#include "scheduling/types/queue_config.h"
#include "scheduling/types/queue_state.h"
#include "scheduling/types/results.h"

#include <optional>
#include <string>
#include <vector>

/// Queue of the credit requests for one pool slice. Tiers have strict priority except for
/// queue_config::yield_share, kinds and accounts within a tier get weighted fair shares, and a tier
/// or kind can have a floor: a share of the dispatch slots that is reserved for it. The queue
/// enforces account limits and deadlines, and sheds requests when it is full. Pure: the time is
/// passed in. Each operation on one request takes time logarithmic in the number of accounts and
/// waiting requests.
namespace almondline::scheduling {

queue_state make_queue(queue_config config);

/// Applies the configuration of a new manifest. Keeps the requests in progress and the waiting
/// requests in their order, except those beyond the new max_waiting, which it removes and returns.
/// Takes time linear in the length of the queue.
std::vector<shed_request> reconfigure(queue_state& queue, queue_config config, steady_time now);

/// Adds a request, or refuses it at once with a retry-after. A full queue sheds from the lowest
/// tier first, and within it the newest request of the account furthest over its share, which may
/// be this request. A request that can use a free slot at once is accepted even if the queue is
/// full; after each enqueue(), call pick() until it returns nothing.
enqueue_result enqueue(queue_state& queue, credit_request request, const slot_view& slots,
                       steady_time now);

/// Removes and returns the next request that may use a free slot; it is in progress until finish()
/// or put_back(). Floors with a free reserved slot come first, then the tiers in order of urgency.
std::optional<credit_request> pick(queue_state& queue, const slot_view& slots, steady_time now);

/// Ends a request in progress and corrects the shares by its actual cost in token units. The actual
/// cost of a request that did not run is 0. Unknown ids are ignored.
void finish(queue_state& queue, const std::string& request_id, double actual_cost, steady_time now);

/// Puts a request that pick() returned and that could not be placed back at the head of its
/// account's requests. Reverses the charge that pick() made.
void put_back(queue_state& queue, credit_request request, steady_time now);

/// Removes a waiting request. Returns false if it was not waiting; use finish() for a request in
/// progress.
bool cancel(queue_state& queue, const std::string& request_id, steady_time now);

/// Records a request in progress that its holder reports to a new granter. Ignored if the id is
/// already in progress. If a request with this id is waiting, it is removed from the queue.
void restore(queue_state& queue, const running_request& request, steady_time now);

/// Removes and returns the requests that can no longer start in time, or are predicted not to. Must
/// be called at least every 100 ms, so that callers are refused well before their deadlines.
std::vector<shed_request> expire(queue_state& queue, steady_time now);

/// Returns false if a request that pick() returned belongs to an account with a backlog while other
/// accounts have demand. It should then leave the headroom on the fastest replicas free
/// (request_shape::leaves_headroom).
bool may_use_headroom(const queue_state& queue, const credit_request& request, steady_time now);

bool is_waiting(const queue_state& queue, const std::string& request_id);
bool is_in_progress(const queue_state& queue, const std::string& request_id);

/// Returns how long a request of this tier and account would wait if it arrived now. Zero if
/// unknown.
std::chrono::milliseconds estimate_wait(const queue_state& queue, int tier,
                                        const std::string& account, steady_time now);

queue_status status(const queue_state& queue);

} // namespace almondline::scheduling
