#pragma once

#include <map>
#include <mutex>
#include <string>

namespace almondline::entry {

/// Expected number of output tokens by service and kind of work, learned from finished answers.
/// Thread-safe.
class length_estimator {
public:
    /// Estimate, at most the caller's own limit (0: none).
    double estimate(const std::string& service, const std::string& kind, double limit) const;
    void learn(const std::string& service, const std::string& kind, double output_tokens);

private:
    mutable std::mutex mutex_;
    std::map<std::string, double> means_;
};

} // namespace almondline::entry
