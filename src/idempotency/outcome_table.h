#pragma once

#include "common/clock.h"
#include "idempotency/types/outcome.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace almondline::idempotency {

struct outcome_limits {
    std::size_t max_entries = 100'000;             ///< about 400 bytes each without the body
    std::size_t max_body_bytes = 32 * 1024 * 1024; ///< of all bodies together
    std::size_t max_one_body = 1024 * 1024;        ///< bytes, larger bodies are not kept
    std::size_t max_joined = 64; ///< requests that wait for the same request in progress
    std::chrono::milliseconds retention{24 * 3'600'000};
    /// Retention of entries that must be kept. At least the lifetime of a minted key.
    std::chrono::milliseconds kept_retention{3'600'000};
};

enum class begin_status {
    started,    ///< the first request with the key, or the earlier one was not dispatched
    joined,     ///< an earlier request is in progress; the waiter receives its outcome
    finished,   ///< the recorded outcome is returned
    other_body, ///< the key was already used with a different request
    full        ///< no entry is free, or too many requests joined the one in progress
};

struct begin_result {
    begin_status status = begin_status::started;
    /// Set for started: id for the claim of the key. An earlier request of the same entry that was
    /// not dispatched used the same id, so that a claim recorded for it belongs to this request
    /// too.
    std::string claim_id;
    outcome recorded; ///< set for finished
};

/// Requests with idempotency keys that are in progress or ended on this instance. Keys are scoped
/// to a client account.
class outcome_table {
public:
    using waiter = std::function<void(const outcome&)>;

    explicit outcome_table(const outcome_limits& limits) : limits_{limits} {}

    /// Registers a request. With must_keep, its entry is not evicted before kept_retention has
    /// passed, because the table is then the only record of the use of the key.
    begin_result begin(const std::string& account, const std::string& key_hash,
                       const std::string& body_hash, bool must_keep, waiter on_outcome,
                       steady_time now);
    /// Records the outcome of a request that was or may have been dispatched.
    void finish(const std::string& account, const std::string& key_hash, outcome result,
                steady_time now);
    /// Records that the request was not dispatched; the key can be used again on this instance.
    void abandon(const std::string& account, const std::string& key_hash, const outcome& result,
                 steady_time now);

    struct lookup_result {
        bool is_known = false;
        bool is_finished = false;
        bool is_other_body = false;
        outcome result;
    };
    /// Answers a query of another instance about the claim that is recorded for the key. An entry
    /// with another claim id counts as unknown: the entry of the recorded claim was dropped.
    lookup_result lookup(const std::string& account, const std::string& key_hash,
                         const std::string& body_hash, const std::string& claim_id) const;
    /// Removes the entries whose retention has passed.
    void expire(steady_time now);

    std::size_t size() const { return entries_.size(); }
    std::size_t body_bytes() const { return body_bytes_; }

private:
    enum class entry_state { in_progress, finished, abandoned };
    struct entry {
        entry_state state = entry_state::in_progress;
        std::string body_hash;
        std::string claim_id;
        bool must_keep = false;
        outcome result;
        std::vector<waiter> waiters;
        steady_time expires;      ///< set when the request ends
        std::uint64_t serial = 0; ///< new each time the request is started
    };
    struct ended_entry {
        std::string id;
        std::uint64_t serial = 0; ///< differs from the entry's if the key was started again
        steady_time expires;
    };

    void end(const std::string& id, entry_state end_state, outcome result, steady_time now);
    /// Drops the oldest bodies until their total is at most max_body_bytes.
    void drop_bodies();
    /// Returns false if no entry may be evicted.
    bool evict_oldest();
    void erase(const std::string& id);

    outcome_limits limits_;
    std::unordered_map<std::string, entry> entries_;
    /// Ended entries in order of expiry. Entries that must be kept have a queue of their own, [1],
    /// because their retention differs.
    std::array<std::deque<ended_entry>, 2> ended_;
    std::deque<ended_entry> bodies_;    ///< entries that may still have a body, oldest first
    std::deque<ended_entry> droppable_; ///< entries that may be evicted, oldest first
    std::size_t body_bytes_ = 0;
    std::uint64_t last_serial_ = 0;
};

} // namespace almondline::idempotency
