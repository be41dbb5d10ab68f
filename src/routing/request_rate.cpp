#include "routing/request_rate.h"

#include <algorithm>
#include <chrono>

namespace almondline::routing {

namespace {

/// A replica that accepts fewer requests still gets one now and then, because only a response shows
/// that it accepts more again.
constexpr double min_rate = 0.2; // requests per second
/// Time for which requests add up that nobody used, in seconds. Longer than the interval between
/// two ticks of the granter, so that none is lost.
constexpr double burst_seconds = 0.5;

double burst(double rate)
{
    return 1 + rate * burst_seconds;
}

double requests_at(const rate_limiter& limiter, double share, steady_time now)
{
    const double rate = granted_rate(limiter, share);
    const std::chrono::duration<double> elapsed = now - limiter.updated;
    const double added = rate * std::max(0.0, elapsed.count());
    return std::min(burst(rate), limiter.requests + added);
}

void set_requests(rate_limiter& limiter, double requests, steady_time now)
{
    limiter.requests = requests;
    limiter.updated = now;
}

} // namespace

bool update_rate(std::optional<advertised_rate>& rate, std::optional<double> per_second,
                 steady_time sent, steady_time now)
{
    if (per_second) {
        const bool is_changed = !rate || rate->per_second != *per_second;
        rate = advertised_rate{*per_second, now};
        return is_changed;
    }
    if (!rate || sent < rate->advertised_at) {
        return false;
    }
    rate.reset();
    return true;
}

bool update_limiter(rate_limiter& limiter, std::optional<double> per_second, steady_time sent,
                    double share, steady_time now)
{
    const double requests = limiter.rate ? requests_at(limiter, share, now) : 0;
    const bool is_changed = update_rate(limiter.rate, per_second, sent, now);
    if (per_second || is_changed) {
        limiter.changed = now;
    }
    set_requests(limiter, requests, now);
    return is_changed;
}

bool restore_limiter(rate_limiter& limiter, const advertised_rate& rate, double share,
                     steady_time now)
{
    if (rate.advertised_at <= limiter.changed) {
        return false;
    }
    const bool is_changed =
        update_limiter(limiter, rate.per_second, rate.advertised_at, share, now);
    limiter.rate = rate;
    limiter.changed = rate.advertised_at;
    return is_changed;
}

double granted_rate(const rate_limiter& limiter, double share)
{
    return std::max(min_rate, limiter.rate->per_second * share);
}

int available_requests(const rate_limiter& limiter, double share, steady_time now)
{
    return static_cast<int>(requests_at(limiter, share, now));
}

bool allows_request(const rate_limiter& limiter, double share, steady_time now)
{
    return !limiter.rate || available_requests(limiter, share, now) > 0;
}

bool take_request(rate_limiter& limiter, double share, steady_time now)
{
    if (!limiter.rate) {
        return false;
    }
    // Requests that were granted before the rate was known would otherwise be owed later.
    set_requests(limiter, std::max(0.0, requests_at(limiter, share, now) - 1), now);
    return true;
}

void return_request(rate_limiter& limiter, double share, steady_time now)
{
    if (limiter.rate) {
        set_requests(limiter, requests_at(limiter, share, now) + 1, now);
    }
}

} // namespace almondline::routing
