#pragma once

#include <map>
#include <mutex>
#include <string>

namespace almondline::entry {

/// Estimates the number of output tokens by service and kind of work: an exponential moving average
/// over completed requests. Thread-safe.
class length_estimator {
public:
    /// Returns the estimate, capped at the caller's limit (0: no limit).
    double estimate(const std::string& service, const std::string& kind, double limit) const;
    /// Updates the estimate with the output length of a completed request.
    void update(const std::string& service, const std::string& kind, double output_tokens);

private:
    mutable std::mutex mutex_;
    std::map<std::string, double> means_;
};

} // namespace almondline::entry
