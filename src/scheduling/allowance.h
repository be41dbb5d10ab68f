#pragma once

#include "common/clock.h"
#include "manifest/types/manifest.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Token buckets that limit the tokens each client account may use. Pure: the time is passed in.
namespace almondline::scheduling {

struct allowance_settings {
    /// Excess that an account may use in a window beyond its rate and burst: overage is a fraction
    /// of what both allow in the window, slack a number of tokens.
    double overage = 0;
    double slack = 0;
    std::chrono::milliseconds window{8'000};
    /// Fraction of the excess that is added to the refill rate, and of the slack that is added to
    /// the bucket. The rest covers requests that reach a backend server some time after their
    /// credit, and changes of granter.
    double refill_fraction = 0.35;
    double bucket_fraction = 0.25;
    /// Share of its capacity that a new bucket starts with. The previous granter may already have
    /// spent the whole burst.
    double initial_share = 0.15;
};

struct allowance_bucket {
    double rate = 0;     ///< tokens per second
    double capacity = 0; ///< tokens
    double tokens = 0;   ///< remaining; below 0 after a request larger than the bucket
    double reserved = 0; ///< part of tokens, held for requests that wait for a backend server
    steady_time updated{};
};

struct allowance_table {
    allowance_settings settings;
    /// Share of each allowance that this table grants, 0 to 1. Below 1 while unreachable instances
    /// may be granting the rest.
    double share = 1;
    std::map<std::string, allowance_bucket> buckets; ///< of accounts with a limit
};

/// Returns the share of an account's allowance that one table grants while several tables split
/// it, 0 to 1.
using allowance_fraction = std::function<double(const account_policy& account)>;

/// Applies the limits of a manifest. Accounts keep their remaining tokens, up to the new capacity;
/// accounts without a limit are removed.
void reconfigure(allowance_table& allowances, const std::vector<account_policy>& accounts,
                 const allowance_fraction& fraction_of, steady_time now);

/// Does the same for a table that grants the whole allowance of each account.
void reconfigure(allowance_table& allowances, const std::vector<account_policy>& accounts,
                 steady_time now);

/// Sets the share of each allowance that the table grants. Clamped to [0, 1].
void set_share(allowance_table& allowances, double share, steady_time now);

/// Reserves an account's tokens for a request that is about to wait. Returns nothing on success.
/// Otherwise reserves nothing and returns the time after which enough tokens will be available, at
/// most an hour. A request larger than the bucket is admitted when the bucket is full. Accounts
/// without a bucket have no limit.
std::optional<std::chrono::milliseconds>
reserve(allowance_table& allowances, const std::string& account, double tokens, steady_time now);

/// Cancels the reservation of a request that will not run.
void cancel_reservation(allowance_table& allowances, const std::string& account, double tokens);

/// Consumes reserved tokens when their request goes to a backend server. Requests that waited may
/// be dispatched together; if their tokens were consumed earlier, the bucket would have refilled by
/// then.
void spend(allowance_table& allowances, const std::string& account, double tokens, steady_time now);

/// Returns the tokens of a request that was sent to a backend server but did not run.
void refund(allowance_table& allowances, const std::string& account, double tokens,
            steady_time now);

} // namespace almondline::scheduling
