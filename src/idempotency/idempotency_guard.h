#pragma once

#include "idempotency/claimer.h"
#include "idempotency/minted_key.h"
#include "idempotency/outcome_table.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace almondline::idempotency {

struct guard_config {
    std::string instance_id;
    std::int64_t incarnation = 0;
    std::chrono::milliseconds key_lifetime{3'600'000}; ///< of minted keys
    std::chrono::milliseconds query_timeout{1000};
    std::size_t max_key_bytes = 255;
    claimer_config claims{}; ///< instance_id and incarnation are overwritten by those above
    owner_config owner{};
    outcome_limits outcomes{}; ///< kept_retention is overwritten by key_lifetime
};

/// State of the incarnation that minted or claimed a key, as known to this instance.
struct holder_info {
    bool is_gone = true; ///< dead, replaced or unknown
    std::string caller_address;
};

struct guard_callbacks {
    peer_callbacks peers;
    std::function<holder_info(const std::string& instance_id, std::int64_t incarnation)> holder;
};

enum class admission_kind {
    dispatch, ///< the caller of admit dispatches the request and then calls finish or abandon
    respond,  ///< the caller gets the outcome of an earlier or joined request
    refuse
};

struct admission {
    admission_kind kind = admission_kind::refuse;
    outcome response;             ///< set for respond
    refusal reason;               ///< set for refuse
    std::string redirect_address; ///< for refuse: instance that can answer; may be empty
};

/// A request with an idempotency key. Requests with the same body hash count as the same request.
struct keyed_request {
    std::string account;
    std::string key;
    std::string body_hash;
    std::string request_id;
};

/// Prevents a request with an idempotency key from being dispatched more than once in the fleet.
class idempotency_guard {
public:
    using admission_handler = std::function<void(const admission&)>;

    /// Store and clock must outlive the guard. It must be created when the process starts: the
    /// expiry of minted keys counts from its creation.
    idempotency_guard(const guard_config& config, guard_callbacks callbacks, key_value_store& store,
                      const clock_source& clock);

    /// Returns a new key. Only this incarnation dispatches requests with it.
    std::string mint(steady_time now) const;
    std::chrono::milliseconds key_lifetime() const { return config_.key_lifetime; }

    /// Decides whether a request is dispatched, answered or refused. The handler runs once, within
    /// the call or later.
    void admit(const keyed_request& request, admission_handler handler, steady_time now);
    /// Records the final response of a dispatched request, whatever its status.
    void finish(const keyed_request& request, const outcome& result, steady_time now);
    /// Records that an admitted request was not run (not dispatched, or refused before admission by
    /// the backend server), so that the key can be used again on this instance. A result with a
    /// verdict other than not_run is recorded as by finish.
    void abandon(const keyed_request& request, const outcome& result, steady_time now);

    void receive(const std::string& from, const message& received, steady_time now);
    /// Must be called at least every 10 ms while requests wait.
    void tick(steady_time now);

    const owner_counters& counters() const { return owner_.counters(); }
    const outcome_table& outcomes() const { return table_; }

private:
    struct pending_query {
        keyed_request request;
        admission_handler handler;
        claim_answer claim;
        steady_time deadline;
    };

    void admit_minted(const keyed_request& request, const admission_handler& handler,
                      steady_time now);
    /// Returns true if the request is to be dispatched or claimed by this instance. Otherwise it is
    /// answered now, or when the request that it joined ends.
    bool start(const keyed_request& request, bool is_minted, const admission_handler& handler,
               std::string& claim_id, steady_time now);
    void on_claimed(const keyed_request& request, const admission_handler& handler,
                    const claim_answer& answer);
    void query_holder(const keyed_request& request, const admission_handler& handler,
                      const claim_answer& answer, steady_time now);
    void on_reply(const outcome_reply& reply, steady_time now);
    void answer_query(const std::string& from, const outcome_query& query);
    /// Answers a request that was not dispatched here and the requests that joined it.
    void abandon_and_answer(const keyed_request& request, const admission_handler& handler,
                            const admission& answer, steady_time now);

    guard_config config_;
    guard_callbacks callbacks_;
    const clock_source& clock_;
    steady_time started_;
    outcome_table table_;
    range_owner owner_;
    claimer claimer_;
    std::unordered_map<std::string, pending_query> queries_;
};

} // namespace almondline::idempotency
