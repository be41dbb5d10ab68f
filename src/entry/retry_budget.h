#pragma once

#include <map>
#include <mutex>
#include <string>

namespace almondline::entry {

/// Limits second attempts to a share of the first ones, by service, so that retries can't multiply
/// an outage. Thread-safe.
class retry_budget {
public:
    /// Records a first attempt, which earns a share of a retry.
    void on_first_attempt(const std::string& service, int percent);
    /// Takes one retry from the budget. Returns false if it is used up.
    bool take(const std::string& service);

private:
    std::mutex mutex_;
    std::map<std::string, double> tokens_;
};

} // namespace almondline::entry
