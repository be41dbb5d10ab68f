#pragma once

#include "common/clock.h"
#include "manifest/types/manifest.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Tokens that each client account may use, as token buckets. Pure: the time is passed in.
namespace almondline::scheduling {

struct allowance_settings {
    /// What an account may use in a window beyond its rate and burst: a share of both, and tokens.
    double overage = 0;
    double slack = 0;
    std::chrono::milliseconds window{8'000};
    /// Parts of the excess that the refill and the bucket give out. The rest covers requests that
    /// reach a server some time after their credit, and changes of the granter.
    double refill_part = 0.35;
    double bucket_part = 0.25;
    /// Share of the burst that a new book starts with. The book of the granter before may have
    /// spent all of it.
    double initial_share = 0.15;
};

struct allowance_bucket {
    double rate = 0;     ///< tokens per second
    double capacity = 0; ///< tokens
    double tokens = 0;   ///< left; below 0 after a request larger than the bucket
    double reserved = 0; ///< of these, for requests that wait for a backend server
    steady_time updated{};
};

struct allowance_table {
    allowance_settings settings;
    /// Part of each allowance that this book gives out, 0 to 1. Below 1 while other instances may
    /// give out the rest because they can't be reached.
    double share = 1;
    std::map<std::string, allowance_bucket> buckets; ///< of accounts with a limit
};

/// Part of an account's allowance that a book gives out while several books share it, 0 to 1.
using allowance_part = std::function<double(const account_policy& account)>;

/// Puts the limits of a manifest into force. Accounts keep what they have left.
void reconfigure(allowance_table& allowances, const std::vector<account_policy>& accounts,
                 const allowance_part& part_of, steady_time now);

/// The same for a book that gives out the whole allowance of each account.
void reconfigure(allowance_table& allowances, const std::vector<account_policy>& accounts,
                 steady_time now);

/// Changes the part of the allowances that the book gives out.
void set_share(allowance_table& allowances, double share, steady_time now);

/// Reserves tokens of an account for a request that is to wait, and returns nothing. If it has too
/// few left, it returns the time after which they would suffice, and reserves none. A request
/// larger than a whole bucket is let through when the bucket is full.
std::optional<std::chrono::milliseconds>
reserve(allowance_table& allowances, const std::string& account, double tokens, steady_time now);

/// Ends a reservation of a request that will not run.
void cancel_reservation(allowance_table& allowances, const std::string& account, double tokens);

/// Takes reserved tokens, as their request goes to a backend server. Requests that waited arrive
/// together: taken earlier, their tokens would be refilled by then.
void spend(allowance_table& allowances, const std::string& account, double tokens, steady_time now);

/// Returns tokens of a request that was sent and not run.
void refund(allowance_table& allowances, const std::string& account, double tokens,
            steady_time now);

} // namespace almondline::scheduling
