#include "metrics/registry.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <map>
#include <mutex>
#include <sstream>

namespace almondline {

namespace {

namespace hist = boost::histogram;

constexpr int bucket_count = 48; // 8 per factor of ten
constexpr double lowest_seconds = 0.001;
constexpr double highest_seconds = 1000;
// Some label values come from requests, so the number of series must be limited.
constexpr std::size_t max_series = 20'000;

using log_axis = hist::axis::regular<double, hist::axis::transform::log>;
using duration_histogram =
    decltype(hist::make_histogram(log_axis{bucket_count, lowest_seconds, highest_seconds}));

struct duration_series {
    duration_histogram buckets =
        hist::make_histogram(log_axis{bucket_count, lowest_seconds, highest_seconds});
    double sum = 0;
    std::uint64_t count = 0;
};

std::string escape(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c == '\n' ? ' ' : c;
    }
    return out;
}

std::string series_key(std::string_view name, const metric_labels& labels)
{
    std::string key{name};
    char separator = '{';
    for (const auto& it : labels) {
        key += separator;
        key += it.name;
        key += "=\"";
        key += escape(it.value);
        key += '"';
        separator = ',';
    }
    if (!labels.empty()) {
        key += '}';
    }
    return key;
}

/// Returns a key such as name{a="b"} with a suffix appended to the name and a label added.
std::string extend_key(const std::string& key, const std::string& suffix, const std::string& label)
{
    const auto brace = key.find('{');
    if (brace == key.npos) {
        return key + suffix + (label.empty() ? "" : "{" + label + "}");
    }
    std::string labels = key.substr(brace);
    if (!label.empty()) {
        labels.insert(labels.size() - 1, "," + label);
    }
    return key.substr(0, brace) + suffix + labels;
}

void render_histogram(std::ostringstream& out, const std::string& key,
                      const duration_series& series)
{
    const auto& axis = series.buckets.axis();
    double cumulative = series.buckets.at(-1);
    for (int i = 0; i < axis.size(); ++i) {
        cumulative += series.buckets.at(i);
        std::ostringstream bound;
        bound << "le=\"" << axis.bin(i).upper() << '"';
        out << extend_key(key, "_bucket", bound.str()) << ' ' << cumulative << '\n';
    }
    out << extend_key(key, "_bucket", "le=\"+Inf\"") << ' ' << series.count << '\n';
    out << extend_key(key, "_sum", "") << ' ' << series.sum << '\n';
    out << extend_key(key, "_count", "") << ' ' << series.count << '\n';
}

} // namespace

struct metrics_registry::state {
    mutable std::mutex mutex;
    std::map<std::string, double> values;
    std::map<std::string, duration_series> histograms;
};

metrics_registry::metrics_registry() : state_{std::make_unique<state>()} {}
metrics_registry::~metrics_registry() = default;

void metrics_registry::add(std::string_view name, const metric_labels& labels, double by)
{
    const std::lock_guard lock{state_->mutex};
    if (state_->values.size() < max_series) {
        state_->values[series_key(name, labels)] += by;
    }
}

void metrics_registry::set(std::string_view name, const metric_labels& labels, double value)
{
    const std::lock_guard lock{state_->mutex};
    if (state_->values.size() < max_series) {
        state_->values[series_key(name, labels)] = value;
    }
}

void metrics_registry::observe(std::string_view name, const metric_labels& labels,
                               std::chrono::nanoseconds duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    const std::lock_guard lock{state_->mutex};
    if (state_->histograms.size() >= max_series) {
        return;
    }
    auto& series = state_->histograms[series_key(name, labels)];
    series.buckets(seconds);
    series.sum += seconds;
    ++series.count;
}

double metrics_registry::value(std::string_view name, const metric_labels& labels) const
{
    const std::lock_guard lock{state_->mutex};
    const auto it = state_->values.find(series_key(name, labels));
    return it == state_->values.end() ? 0 : it->second;
}

std::chrono::milliseconds metrics_registry::quantile(std::string_view name,
                                                     const metric_labels& labels, double q) const
{
    const std::lock_guard lock{state_->mutex};
    const auto it = state_->histograms.find(series_key(name, labels));
    if (it == state_->histograms.end() || it->second.count == 0) {
        return {};
    }
    const auto& axis = it->second.buckets.axis();
    const double wanted = q * static_cast<double>(it->second.count);
    double cumulative = it->second.buckets.at(-1);
    int bin = 0;
    while (bin < axis.size() && cumulative + it->second.buckets.at(bin) < wanted) {
        cumulative += it->second.buckets.at(bin);
        ++bin;
    }
    const double seconds = bin < axis.size() ? axis.bin(bin).upper() : highest_seconds;
    return std::chrono::milliseconds{std::llround(seconds * 1000)};
}

std::string metrics_registry::render() const
{
    std::ostringstream out;
    const std::lock_guard lock{state_->mutex};
    for (const auto& [key, value] : state_->values) {
        out << key << ' ' << value << '\n';
    }
    for (const auto& [key, series] : state_->histograms) {
        render_histogram(out, key, series);
    }
    return out.str();
}

} // namespace almondline
