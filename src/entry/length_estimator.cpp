#include "entry/length_estimator.h"

#include <algorithm>

namespace almondline::entry {

namespace {

constexpr double initial_output_tokens = 200;
constexpr double smoothing_factor = 0.05;

} // namespace

double length_estimator::estimate(const std::string& service, const std::string& kind,
                                  double limit) const
{
    const std::lock_guard lock{mutex_};
    const auto it = means_.find(service + '\n' + kind);
    const double mean = it == means_.end() ? initial_output_tokens : it->second;
    return limit > 0 ? std::min(mean, limit) : mean;
}

void length_estimator::update(const std::string& service, const std::string& kind,
                              double output_tokens)
{
    const std::lock_guard lock{mutex_};
    const auto [it, is_new] = means_.try_emplace(service + '\n' + kind, output_tokens);
    if (!is_new) {
        it->second += smoothing_factor * (output_tokens - it->second);
    }
}

} // namespace almondline::entry
