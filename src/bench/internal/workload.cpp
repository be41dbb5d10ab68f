#include "bench/internal/workload.h"

#include "bench/internal/engine.h"

#include <algorithm>
#include <cmath>

namespace almondline::bench {

namespace {

constexpr int groups_per_account = 12;

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a * 0x9E3779B97F4A7C15ULL + b + 0x7F4A7C15ULL;
    x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27U)) * 0x94D049BB133111EBULL;
    return x ^ (x >> 31U);
}

} // namespace

request_source::request_source(stream_spec spec, int entries)
    : spec_{std::move(spec)}, entries_{entries}, time_{spec_.from}, random_{spec_.seed}
{
}

double request_source::log_uniform(double low, double high)
{
    std::uniform_real_distribution<double> exponent{std::log(low), std::log(high)};
    return std::exp(exponent(random_));
}

bool request_source::next(simulated_request& request)
{
    if (spec_.rate <= 0) {
        return false;
    }
    time_ += std::exponential_distribution<double>{spec_.rate}(random_);
    if (time_ >= spec_.to) {
        return false;
    }
    request = {};
    request.number = mix(spec_.seed, ++count_);
    request.id = std::to_string(spec_.seed) + "-" + std::to_string(count_);
    request.arrived = time_;
    request.entry = static_cast<int>(random_() % static_cast<std::uint64_t>(entries_));
    if (spec_.entry >= 0) {
        request.entry = spec_.entry;
    }
    request.tier = std::discrete_distribution<int>(spec_.tier_shares.begin(),
                                                   spec_.tier_shares.end())(random_);
    request.account = std::discrete_distribution<int>(spec_.account_shares.begin(),
                                                      spec_.account_shares.end())(random_);
    request.kind = random_() % 3 == 0 ? "check" : "draft";
    // The longest is 100 times as long as the shortest.
    request.prompt = std::floor(log_uniform(100, 10'000));
    request.output = std::floor(log_uniform(10, 1'000));
    request.estimated_output = std::floor(request.output * log_uniform(0.5, 2));
    request.deadline = time_ + 20 + 0.15 * request.output;
    // The popularity of a prefix falls with the square root of its rank.
    const double rank = std::pow(std::uniform_real_distribution<double>{0, 1}(random_), 2);
    const auto group = static_cast<std::uint64_t>(rank * groups_per_account) +
                       static_cast<std::uint64_t>(request.account) * groups_per_account;
    const double prefix = 500 * std::pow(8.0, static_cast<double>(mix(group, 99) % 1000) / 1000);
    const auto blocks = static_cast<std::size_t>(request.prompt / block_tokens);
    request.shared_blocks =
        static_cast<std::size_t>(std::min(prefix, 0.8 * request.prompt) / block_tokens);
    for (std::size_t i = 0; i < blocks; ++i) {
        request.blocks.push_back(i < request.shared_blocks ? mix(group + 1, i)
                                                           : mix(request.number, i));
    }
    return true;
}

} // namespace almondline::bench
