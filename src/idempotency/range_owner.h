#pragma once

#include "common/clock.h"
#include "idempotency/internal/claim_record.h"
#include "store/key_value_store.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondline::idempotency {

struct owner_config {
    /// Minimum time between writes of a record; claims that arrive in between share a write.
    std::chrono::milliseconds write_interval{20};
    /// Maximum write rate of one record. Lengthens the write interval of large records.
    std::size_t bytes_per_second = 4'000'000;
    std::chrono::milliseconds claim_timeout{1000};
    std::chrono::milliseconds reload_interval{50};
    /// The same while no claim waits, to write lost claims again.
    std::chrono::milliseconds idle_reload_interval{1'000};
    /// Time between the reads of two ranges after the store returned from an older copy.
    std::chrono::milliseconds restore_interval{4};
    std::chrono::hours retention{24};
    std::size_t max_record_bytes = 900'000; ///< the store accepts values of up to 1 MB
    std::size_t max_waiting = 1000;         ///< claims per range
};

struct owner_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t claims = 0; ///< recorded by this instance
    std::uint64_t conflicts = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t restored_claims = 0; ///< acknowledged claims that the store had lost
};

/// Writes claims to the records of the key ranges in the store. Any instance may write any range:
/// the compare-and-swap alone prevents a key from being claimed twice. Choosing one owner per range
/// only avoids conflicts.
class range_owner {
public:
    using answer_handler = std::function<void(const claim_answer&)>;

    /// Store and clock must outlive the object.
    range_owner(key_value_store& store, const clock_source& clock, const owner_config& config);

    /// Queues a claim. The handler runs once, within the call or later.
    void submit(claim_request request, answer_handler handler, steady_time now);
    /// Must be called at least every 10 ms while claims wait.
    void tick(steady_time now);
    const owner_counters& counters() const { return counters_; }

private:
    struct pending_claim {
        claim_request request;
        answer_handler answer;
        steady_time deadline;
        /// True if the answer to a write of this claim with expected_revision was lost.
        bool is_unconfirmed = false;
        std::uint64_t expected_revision = 0;
    };
    struct range_state {
        /// Claims that the store acknowledged, and those of writing.
        claim_record record;
        std::uint64_t revision = 0;
        std::uint64_t era = 0; ///< of the store, to which the revision belongs
        bool is_loaded = false;
        bool is_reload_due = false;   ///< even if no claim waits
        bool has_lost_claims = false; ///< the store lacks claims of the record
        bool is_busy = false;         ///< a store call is pending
        steady_time next_call;
        std::vector<pending_claim> waiting;
        std::vector<pending_claim> writing;
    };

    void advance(int index, steady_time now);
    void expire(range_state& range, steady_time now);
    void load(int index);
    void restore_claims(int index, claim_record stored);
    void on_loaded(int index, const get_result& result);
    void write(int index, steady_time now);
    void on_written(int index, const put_result& result);
    /// Moves the claims that need a write to range.writing and answers those that are decided.
    void resolve_claims(range_state& range);
    static void refuse(const std::vector<pending_claim>& claims, const std::string& message);
    static void refuse_one(const pending_claim& claim, const std::string& message);
    static void answer(const pending_claim& claim, claim_status status, const std::string& message);

    key_value_store& store_;
    const clock_source& clock_;
    owner_config config_;
    std::map<int, range_state> ranges_;
    /// Expires with this object, so that later store handlers do nothing.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    owner_counters counters_;
};

} // namespace almondline::idempotency
