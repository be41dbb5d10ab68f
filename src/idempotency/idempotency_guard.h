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
    claimer_config claims{}; ///< the identity is taken from above
    owner_config owner{};
    outcome_limits outcomes{}; ///< the retention of minted keys is taken from above
};

/// What is known of the incarnation that minted or claimed a key.
struct holder_info {
    bool is_gone = true; ///< dead, replaced or not known
    std::string caller_address;
};

struct guard_callbacks {
    peer_callbacks peers;
    std::function<holder_info(const std::string& instance_id, std::int64_t incarnation)> holder;
};

enum class admission_kind {
    dispatch, ///< the caller of admit dispatches, and then calls finish or abandon
    respond,  ///< the recorded or joined outcome is the response
    refuse
};

struct admission {
    admission_kind kind = admission_kind::refuse;
    outcome response; ///< respond
    refusal why;      ///< refuse
    std::string
        redirect_address; ///< refuse: address of the instance that can answer, if there is one
};

/// A request with an idempotency key. The body hash covers all that makes it the same request.
struct keyed_request {
    std::string account;
    std::string key;
    std::string body_hash;
    std::string request_id;
};

/// Keeps a request with an idempotency key from being dispatched more than once in the fleet.
class idempotency_guard {
public:
    using admission_handler = std::function<void(const admission&)>;

    /// Store and clock must outlive it. To be made at the start of the process.
    idempotency_guard(const guard_config& config, guard_callbacks callbacks, key_value_store& store,
                      const clock_source& clock);

    /// Text of a new key that only this incarnation dispatches, and its lifetime.
    std::string mint(steady_time now) const;
    std::chrono::milliseconds key_lifetime() const { return config_.key_lifetime; }

    /// Decides what happens to a request. The handler runs once, from within the call or later.
    void admit(const keyed_request& request, admission_handler handler, steady_time now);
    /// After dispatch: records the final response, whatever it is.
    void finish(const keyed_request& request, const outcome& result, steady_time now);
    /// Admitted, but not run (not dispatched, or refused before admission): the key may be used
    /// again on this instance. A result with another verdict than not_run is recorded as by finish.
    void abandon(const keyed_request& request, const outcome& result, steady_time now);

    void receive(const std::string& from, const message& received, steady_time now);
    /// To be called every 10 ms or more often while requests wait.
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
    /// Returns true if the request is the first with its key here; otherwise it is answered.
    bool begin(const keyed_request& request, bool is_minted, const admission_handler& handler,
               std::string& claim_id, steady_time now);
    void on_claimed(const keyed_request& request, const admission_handler& handler,
                    const claim_answer& answer);
    void ask_holder(const keyed_request& request, const admission_handler& handler,
                    const claim_answer& answer, steady_time now);
    void on_reply(const outcome_reply& reply, steady_time now);
    void answer_query(const std::string& from, const outcome_query& query);
    /// Answers a request that was not dispatched here, and those that joined it.
    void refuse_begun(const keyed_request& request, const admission_handler& handler,
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
