#include "scheduling/allowance.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace almondline::scheduling {

namespace {

constexpr double min_rate = 1e-3;

/// Returns the tokens per second that an account receives: its rate plus a fraction of the
/// permitted excess.
double refill_rate(const allowance_settings& settings, const account_policy& account)
{
    const std::chrono::duration<double> window = settings.window;
    const double allowed = account.allowance_rate * window.count() + account.allowance_burst;
    const double excess = settings.overage + settings.slack / std::max(1.0, allowed);
    return account.allowance_rate * (1 + settings.refill_fraction * excess);
}

void refill(const allowance_table& allowances, allowance_bucket& bucket, steady_time now)
{
    const std::chrono::duration<double> elapsed = now - bucket.updated;
    const double gained = std::max(0.0, elapsed.count()) * bucket.rate * allowances.share;
    bucket.tokens = std::min(bucket.capacity * allowances.share, bucket.tokens + gained);
    bucket.updated = now;
}

} // namespace

void reconfigure(allowance_table& allowances, const std::vector<account_policy>& accounts,
                 steady_time now)
{
    reconfigure(
        allowances, accounts, [](const account_policy&) { return 1.0; }, now);
}

void reconfigure(allowance_table& allowances, const std::vector<account_policy>& accounts,
                 const allowance_fraction& fraction_of, steady_time now)
{
    std::set<std::string> limited;
    for (const auto& it : accounts) {
        if (it.allowance_rate <= 0) {
            continue;
        }
        limited.insert(it.name);
        const auto [found, is_new] = allowances.buckets.try_emplace(it.name);
        auto& bucket = found->second;
        const double fraction = fraction_of(it);
        const double rate = fraction * refill_rate(allowances.settings, it);
        bucket.capacity = fraction * (it.allowance_burst + allowances.settings.bucket_fraction *
                                                               allowances.settings.slack);
        if (is_new) {
            bucket.rate = rate;
            bucket.updated = now;
            bucket.tokens = allowances.settings.initial_share * bucket.capacity * allowances.share;
            continue;
        }
        refill(allowances, bucket, now);
        bucket.rate = rate;
    }
    std::erase_if(allowances.buckets, [&](const auto& it) { return !limited.contains(it.first); });
}

void set_share(allowance_table& allowances, double share, steady_time now)
{
    for (auto& [account, bucket] : allowances.buckets) {
        refill(allowances, bucket, now);
    }
    allowances.share = std::clamp(share, 0.0, 1.0);
}

std::optional<std::chrono::milliseconds>
reserve(allowance_table& allowances, const std::string& account, double tokens, steady_time now)
{
    const auto it = allowances.buckets.find(account);
    if (it == allowances.buckets.end()) {
        return std::nullopt;
    }
    auto& bucket = it->second;
    refill(allowances, bucket, now);
    const double needed = std::min(tokens, bucket.capacity * allowances.share);
    const double left = bucket.tokens - bucket.reserved;
    if (left >= needed) {
        bucket.reserved += tokens;
        return std::nullopt;
    }
    const double rate = std::max(min_rate, bucket.rate * allowances.share);
    const double seconds = std::min((needed - left) / rate, 3600.0);
    return std::chrono::milliseconds{static_cast<std::int64_t>(std::ceil(seconds * 1000))};
}

void cancel_reservation(allowance_table& allowances, const std::string& account, double tokens)
{
    const auto it = allowances.buckets.find(account);
    if (it != allowances.buckets.end()) {
        it->second.reserved = std::max(0.0, it->second.reserved - tokens);
    }
}

void spend(allowance_table& allowances, const std::string& account, double tokens, steady_time now)
{
    const auto it = allowances.buckets.find(account);
    if (it == allowances.buckets.end()) {
        return;
    }
    refill(allowances, it->second, now);
    cancel_reservation(allowances, account, tokens);
    it->second.tokens -= tokens;
}

void refund(allowance_table& allowances, const std::string& account, double tokens, steady_time now)
{
    const auto it = allowances.buckets.find(account);
    if (it == allowances.buckets.end()) {
        return;
    }
    refill(allowances, it->second, now);
    it->second.tokens =
        std::min(it->second.capacity * allowances.share, it->second.tokens + tokens);
}

} // namespace almondline::scheduling
