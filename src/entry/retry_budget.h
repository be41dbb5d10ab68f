#pragma once

#include <map>
#include <mutex>
#include <string>

namespace almondline::entry {

/// Limits the retries of each service to a share of its first attempts, so that retries can't
/// amplify an outage. Thread-safe.
class retry_budget {
public:
    /// Records a first attempt, which adds percent / 100 of a retry to the budget.
    void on_first_attempt(const std::string& service, int percent);
    /// Consumes one retry from the budget. Returns false if less than one is left.
    bool consume(const std::string& service);

private:
    std::mutex mutex_;
    std::map<std::string, double> tokens_;
};

} // namespace almondline::entry
