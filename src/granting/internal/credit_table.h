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

/// A credit as its granter sees it.
struct issued_credit {
    credit what;
    std::string holder;
    scheduling::running_request running;
    routing::request_shape shape;
    bool is_confirmed = false;
    steady_time confirmed{}; ///< or reported by its holder
};

/// Credits of one granter, at most one for each request. Expired ones are remembered for a while,
/// in case their confirmation is only late.
class credit_table {
public:
    explicit credit_table(std::chrono::milliseconds late_confirmation)
        : late_confirmation_{late_confirmation}
    {
    }

    /// The request must not have a credit.
    void add(issued_credit entry);
    issued_credit* find(const std::string& request_id);
    void confirm(issued_credit& entry, steady_time now);
    /// Moves the time of expiry of a credit that is not confirmed.
    void extend(issued_credit& entry, steady_time expires);
    std::optional<issued_credit> remove(const std::string& request_id);
    /// Removes a credit that is due, and remembers it.
    std::optional<issued_credit> take_expired(steady_time now);
    /// Removes an expired credit from the memory.
    std::optional<issued_credit> take_late(const std::string& request_id,
                                           const std::string& credit_id);
    void prune_late(steady_time now);
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
    struct late_credit {
        issued_credit entry;
        steady_time forget_at{};
    };

    std::chrono::milliseconds late_confirmation_;
    std::unordered_map<std::string, issued_credit> by_request_;
    std::unordered_map<std::string, std::set<std::string>> by_holder_;
    std::set<std::pair<steady_time, std::string>> unconfirmed_; ///< by time of expiry
    std::unordered_map<std::string, late_credit> late_;         ///< by request id
};

} // namespace almondline::granting
