#pragma once

#include "common/clock.h"
#include "store/key_value_store.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace almondline {

/// Fault injected into one write or lease call of the fake store.
enum class store_fault {
    none,
    refuse,        ///< not written, answered as refused
    conflict,      ///< another writer changes the key first
    lose_response, ///< written, the response is lost
    lose_request,  ///< not written, the response is lost
    late_write     ///< the response is lost, the write takes effect after late_write_delay
};

/// In-memory key-value service for the tests of all modules. Uses the given clock. Handlers run
/// only within run().
class fake_key_value_store final : public key_value_store {
public:
    static constexpr std::chrono::milliseconds late_write_delay{500};

    explicit fake_key_value_store(const clock_source& clock) : clock_{clock} {}

    /// Runs all tasks that are due, including those added while running.
    void run()
    {
        expire_leases();
        update_watches();
        for (auto it = next_due(); it != queue_.end(); it = next_due()) {
            const auto task = std::move(it->task);
            queue_.erase(it);
            task();
            update_watches();
        }
    }

    /// While down, each call fails or is refused, and nothing is written. Leases still expire.
    void set_down(bool is_down)
    {
        is_down_ = is_down;
        update_watches();
    }
    /// Time from a call to its effect and response.
    void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }
    /// Faults of the next writes and lease calls, in order.
    void set_faults(std::vector<store_fault> faults) { faults_ = {faults.begin(), faults.end()}; }
    void fail_reads(int count) { reads_to_fail_ = count; }
    /// Runs once, immediately before the next write is evaluated. Simulates races between writers.
    void before_next_write(std::function<void()> action) { before_write_ = std::move(action); }

    /// Writes unconditionally, like another client.
    std::uint64_t put(const std::string& key, const std::string& value)
    {
        records_[key] = {value, ++revision_, {}};
        return revision_;
    }
    void erase(const std::string& key) { records_.erase(key); }
    bool contains(const std::string& key) const { return records_.count(key) != 0; }
    std::string value(const std::string& key) const
    {
        return contains(key) ? records_.at(key).value : std::string{};
    }
    std::uint64_t revision(const std::string& key) const
    {
        return contains(key) ? records_.at(key).revision : 0;
    }
    /// State of the store as in a backup.
    struct backup;
    backup make_backup() const;
    /// Returns to the backup and starts a new era: revisions and lease ids are given out again.
    void restore(const backup& saved);
    /// Ends a lease as if it had expired.
    void end_lease(const std::string& lease_id) { drop_lease(lease_id); }
    std::size_t lease_count() const { return leases_.size(); }
    int reads() const { return reads_; }
    int writes() const { return writes_; } ///< compare_and_swap calls, whatever their outcome
    std::size_t pending() const { return queue_.size() + watches_.size(); }

    std::uint64_t era() const override { return era_; }

    void get(const std::string& key, get_handler handler) override
    {
        ++reads_;
        answer_later([this, key, handler = std::move(handler)] { handler(read(key)); });
    }

    void watch(const std::string& key, std::uint64_t after_revision, std::chrono::milliseconds wait,
               get_handler handler) override
    {
        ++reads_;
        watches_.push_back({key, after_revision, clock_.now() + wait, std::move(handler)});
    }

    void compare_and_swap(const std::string& key, std::uint64_t expected_revision,
                          const std::string& value, const std::string& lease_id,
                          put_handler handler) override
    {
        ++writes_;
        answer_later([this, key, expected_revision, value, lease_id, handler = std::move(handler)] {
            handler(evaluate_write(key, expected_revision, value, lease_id));
        });
    }

    void grant_lease(std::chrono::milliseconds lifetime, lease_handler handler) override
    {
        answer_later([this, lifetime, handler = std::move(handler)] {
            const auto fault = take_fault();
            if (is_down_ || fault == store_fault::refuse || fault == store_fault::lose_request) {
                handler({false, false, {}, "no answer"});
                return;
            }
            const std::string id = "lease-" + std::to_string(++last_lease_);
            leases_[id] = {lifetime, clock_.now() + lifetime};
            const bool is_lost_answer = fault == store_fault::lose_response;
            handler(is_lost_answer ? lease_result{false, false, {}, "no answer"}
                                   : lease_result{true, false, id, {}, era_});
        });
    }

    void renew_lease(const std::string& lease_id, lease_handler handler) override
    {
        answer_later([this, lease_id, handler = std::move(handler)] {
            const auto fault = take_fault();
            if (is_down_ || fault == store_fault::refuse || fault == store_fault::lose_request) {
                handler({false, false, lease_id, "no answer"});
                return;
            }
            const auto it = leases_.find(lease_id);
            if (it == leases_.end()) {
                handler({false, true, lease_id, "the lease does not exist"});
                return;
            }
            it->second.second = clock_.now() + it->second.first;
            const bool is_granted = fault != store_fault::lose_response;
            handler({is_granted, false, lease_id, is_granted ? "" : "no answer"});
        });
    }

    void revoke_lease(const std::string& lease_id, lease_handler handler) override
    {
        answer_later([this, lease_id, handler = std::move(handler)] {
            const bool is_reached = !is_down_ && take_fault() != store_fault::refuse;
            if (is_reached) {
                drop_lease(lease_id);
            }
            handler({is_reached, false, lease_id, is_reached ? "" : "no answer"});
        });
    }

private:
    struct record {
        std::string value;
        std::uint64_t revision = 0;
        std::string lease_id;
    };
    struct queued_task {
        steady_time due;
        std::function<void()> task;
    };
    struct pending_watch {
        std::string key;
        std::uint64_t after_revision = 0;
        steady_time deadline;
        get_handler handler;
    };

    std::deque<queued_task>::iterator next_due()
    {
        expire_leases();
        return std::find_if(queue_.begin(), queue_.end(),
                            [this](const queued_task& it) { return it.due <= clock_.now(); });
    }

    void answer_later(std::function<void()> task)
    {
        queue_.push_back({clock_.now() + delay_, std::move(task)});
    }

    store_fault take_fault()
    {
        if (faults_.empty()) {
            return store_fault::none;
        }
        const auto fault = faults_.front();
        faults_.pop_front();
        return fault;
    }

    get_result read(const std::string& key)
    {
        if (is_down_ || reads_to_fail_ > 0) {
            reads_to_fail_ -= reads_to_fail_ > 0 ? 1 : 0;
            return {get_status::failed, {}, 0, "no answer"};
        }
        const auto it = records_.find(key);
        if (it == records_.end()) {
            return {get_status::missing, {}, 0, {}, era_};
        }
        return {get_status::found, it->second.value, it->second.revision, {}, era_};
    }

    put_result evaluate_write(const std::string& key, std::uint64_t expected,
                              const std::string& value, const std::string& lease_id)
    {
        if (before_write_) {
            std::exchange(before_write_, nullptr)();
        }
        const auto fault = take_fault();
        if (is_down_ || fault == store_fault::refuse || value.size() > max_store_value) {
            return {put_status::refused, 0, "refused"};
        }
        if (fault == store_fault::lose_request) {
            return {put_status::unknown, 0, "no answer"};
        }
        if (fault == store_fault::late_write) {
            queue_.push_back({clock_.now() + late_write_delay,
                              [=, this] { write(key, expected, value, lease_id); }});
            return {put_status::unknown, 0, "no answer"};
        }
        if (fault == store_fault::conflict) {
            put(key, this->value(key));
        }
        auto result = write(key, expected, value, lease_id);
        if (fault == store_fault::lose_response) {
            return {put_status::unknown, 0, "no answer"};
        }
        return result;
    }

    put_result write(const std::string& key, std::uint64_t expected, const std::string& value,
                     const std::string& lease_id)
    {
        expire_leases();
        if (revision(key) != expected || (!lease_id.empty() && leases_.count(lease_id) == 0)) {
            return {put_status::conflict, revision(key), {}};
        }
        records_[key] = {value, ++revision_, lease_id};
        return {put_status::done, revision_, {}};
    }

    void expire_leases()
    {
        std::vector<std::string> expired;
        for (const auto& [id, lease] : leases_) {
            if (lease.second <= clock_.now()) {
                expired.push_back(id);
            }
        }
        for (const auto& id : expired) {
            drop_lease(id);
        }
    }

    void drop_lease(const std::string& lease_id)
    {
        leases_.erase(lease_id);
        std::erase_if(records_, [&](const auto& it) { return it.second.lease_id == lease_id; });
    }

    void update_watches()
    {
        std::vector<pending_watch> waiting;
        for (auto& it : std::exchange(watches_, {})) {
            if (is_down_) {
                answer_later([handler = it.handler] {
                    handler({get_status::failed, {}, 0, "no answer"});
                });
            }
            else if (revision(it.key) > it.after_revision) {
                answer_later([this, it] { it.handler(read(it.key)); });
            }
            else if (it.deadline <= clock_.now()) {
                const bool is_gone = it.after_revision > 0 && !contains(it.key);
                const auto status = is_gone ? get_status::missing : get_status::unchanged;
                answer_later([handler = it.handler, status, era = era_] {
                    handler({status, {}, 0, {}, era});
                });
            }
            else {
                waiting.push_back(std::move(it));
            }
        }
        watches_.insert(watches_.end(), waiting.begin(), waiting.end());
    }

    const clock_source& clock_;
    std::map<std::string, record> records_;
    std::map<std::string, std::pair<std::chrono::milliseconds, steady_time>> leases_;
    std::deque<queued_task> queue_;
    std::vector<pending_watch> watches_;
    std::deque<store_fault> faults_;
    std::function<void()> before_write_;
    std::chrono::milliseconds delay_{0};
    std::uint64_t era_ = 0;
    std::uint64_t revision_ = 0;
    int last_lease_ = 0;
    int reads_to_fail_ = 0;
    int reads_ = 0;
    int writes_ = 0;
    bool is_down_ = false;
};

struct fake_key_value_store::backup {
    std::map<std::string, record> records;
    std::map<std::string, std::pair<std::chrono::milliseconds, steady_time>> leases;
    std::uint64_t revision = 0;
    int last_lease = 0;
};

inline fake_key_value_store::backup fake_key_value_store::make_backup() const
{
    return {records_, leases_, revision_, last_lease_};
}

inline void fake_key_value_store::restore(const backup& saved)
{
    records_ = saved.records;
    leases_ = saved.leases;
    revision_ = saved.revision;
    last_lease_ = saved.last_lease;
    ++era_;
    for (const auto& it : std::exchange(watches_, {})) {
        answer_later([handler = it.handler] { handler({get_status::failed, {}, 0, "cut"}); });
    }
}

} // namespace almondline
