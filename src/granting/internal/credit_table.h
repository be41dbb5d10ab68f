#pragma once

#include "common/clock.h"
#include "granting/types/credit.h"
#include "routing/types/request_shape.h"
#include "scheduling/types/results.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace almondline::granting {

/// A credit and its state at the granter.
struct issued_credit {
    credit granted;
    std::string holder;
    scheduling::running_request running;
    routing::request_shape shape;
    fingerprints suspects; ///< empty if another granter issued it
    bool is_confirmed = false;
    steady_time issued_at{};    ///< epoch if another granter issued it
    steady_time confirmed_at{}; ///< or when its holder reported it
};

/// Credits of one granter, at most one for each request. Expired ones are kept for a while, in case
/// their confirmation arrives late.
class credit_table {
public:
    explicit credit_table(std::chrono::milliseconds late_confirmation_window)
        : late_confirmation_window_{late_confirmation_window}
    {
    }

    /// Precondition: the request has no credit.
    void add(issued_credit entry);
    issued_credit* find(const std::string& request_id);
    void confirm(issued_credit& entry, steady_time now);
    /// Changes the expiry time of a credit that is not confirmed.
    void extend(issued_credit& entry, steady_time expires);
    std::optional<issued_credit> remove(const std::string& request_id);
    /// Moves one credit that has expired to the expired ones and returns it.
    std::optional<issued_credit> expire_next(steady_time now);
    /// Removes an expired credit and returns it.
    std::optional<issued_credit> remove_expired(const std::string& request_id,
                                                const std::string& credit_id);
    /// Removes the expired credits whose confirmation would be too late to be accepted.
    void prune_expired(steady_time now);
    /// Returns the ids of the requests whose credits the instance holds.
    std::vector<std::string> requests_of(const std::string& holder) const;
    template <class Function>
    void for_each(Function&& function) const
    {
        for (const auto& it : by_request_) {
            function(it.second);
        }
    }
    std::size_t size() const { return by_request_.size(); }

private:
    struct expired_credit {
        issued_credit entry;
        steady_time keep_until{};
    };

    std::chrono::milliseconds late_confirmation_window_;
    std::unordered_map<std::string, issued_credit> by_request_;
    std::unordered_map<std::string, std::set<std::string>> by_holder_;
    std::set<std::pair<steady_time, std::string>> unconfirmed_; ///< by expiry time
    std::unordered_map<std::string, expired_credit> expired_;   ///< by request id
};

} // namespace almondline::granting
