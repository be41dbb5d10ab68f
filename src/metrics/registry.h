#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace almondline {

struct metric_label {
    std::string_view name;
    std::string_view value;
};

using metric_labels = std::vector<metric_label>;

/// Counters, gauges and histograms of one process. Thread-safe. A metric is created on first use.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();

    void add(std::string_view name, const metric_labels& labels = {}, double by = 1);
    void set(std::string_view name, const metric_labels& labels, double value);
    /// Adds a duration to a histogram with logarithmic buckets from 1 ms to 1000 s, rendered in
    /// seconds.
    void observe(std::string_view name, const metric_labels& labels,
                 std::chrono::nanoseconds duration);

    /// Value of a counter or gauge, 0 if it was never used.
    double value(std::string_view name, const metric_labels& labels = {}) const;
    /// Upper bound of the bucket that contains the quantile (0 to 1), zero without observations.
    std::chrono::milliseconds quantile(std::string_view name, const metric_labels& labels,
                                       double q) const;
    /// Returns all metrics in the Prometheus text exposition format.
    std::string render() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace almondline
