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
    std::size_t max_entries = 100'000; ///< about 400 bytes each without the body
    std::size_t max_body_bytes = 32 * 1024 * 1024;
    std::size_t max_one_body = 1024 * 1024; ///< larger bodies are not kept
    std::size_t max_joined = 64;            ///< requests that wait for one in progress
    std::chrono::milliseconds retention{24 * 3'600'000};
    /// Of entries that must be kept: at least the lifetime of a minted key.
    std::chrono::milliseconds kept_retention{3'600'000};
};

enum class begin_status {
    started,    ///< the first request with the key, or the earlier one was not dispatched
    joined,     ///< one is in progress; the waiter receives its outcome
    finished,   ///< the recorded outcome is returned
    other_body, ///< the key was used with another request
    full        ///< no more entries, or too many requests joined this one
};

struct begin_result {
    begin_status status = begin_status::started;
    /// Started: id for the claim of the key. An earlier request of this entry that was not
    /// dispatched had the same one, so that a claim of it that was recorded after all serves this
    /// request.
    std::string claim_id;
    outcome recorded; ///< finished
};

/// Requests with idempotency keys that this instance holds or held. Keys are within the scope of a
/// client account.
class outcome_table {
public:
    using waiter = std::function<void(const outcome&)>;

    explicit outcome_table(const outcome_limits& limits) : limits_{limits} {}

    /// Registers a request. An entry that must be kept is not dropped before the retention ends:
    /// the table is then the only record that the key was used.
    begin_result begin(const std::string& account, const std::string& key_hash,
                       const std::string& body_hash, bool must_keep, waiter on_outcome,
                       steady_time now);
    /// Records the outcome of a request that was or may have been dispatched.
    void finish(const std::string& account, const std::string& key_hash, outcome result,
                steady_time now);
    /// Records that the request was not dispatched; the key may be used again on this instance.
    void abandon(const std::string& account, const std::string& key_hash, const outcome& result,
                 steady_time now);

    struct lookup_result {
        bool is_known = false;
        bool is_finished = false;
        bool is_other_body = false;
        outcome result;
    };
    /// For a query of another instance. An entry with another claim id knows nothing of the
    /// recorded claim: the entry of that one was dropped.
    lookup_result lookup(const std::string& account, const std::string& key_hash,
                         const std::string& body_hash, const std::string& claim_id) const;
    void expire(steady_time now);

    std::size_t size() const { return entries_.size(); }
    std::size_t body_bytes() const { return body_bytes_; }

private:
    enum class state { in_progress, finished, abandoned };
    struct entry {
        state is = state::in_progress;
        std::string body_hash;
        std::string claim_id;
        bool must_keep = false;
        outcome result;
        std::vector<waiter> waiters;
        steady_time ends; ///< set when it ends, then the retention applies
        std::uint64_t serial = 0;
    };
    struct ended_entry {
        std::string id;
        std::uint64_t serial = 0; ///< tells a key that was begun again
        steady_time ends;
    };

    void end(const std::string& id, state how, outcome result, steady_time now);
    void drop_bodies();
    bool make_room();
    void erase(const std::string& id);

    outcome_limits limits_;
    std::unordered_map<std::string, entry> entries_;
    /// In order of their end; those that must be kept are apart, as their retention differs.
    std::array<std::deque<ended_entry>, 2> ended_;
    std::deque<ended_entry> bodies_; ///< those that may still hold a body
    std::deque<ended_entry> droppable_;
    std::size_t body_bytes_ = 0;
    std::uint64_t last_serial_ = 0;
};

} // namespace almondline::idempotency
