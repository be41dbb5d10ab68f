#pragma once

#include "manifest/account_keys.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondline::gateway {

/// A manifest with the indexes that requests use for lookups. Immutable.
struct route_table {
    std::shared_ptr<const manifest> content;
    /// Routes by host, longest prefix first. The pointers refer to content.
    std::unordered_map<std::string, std::vector<const route_policy*>> routes;
    account_keys accounts_by_key_hash;
};

std::shared_ptr<const route_table> make_route_table(std::shared_ptr<const manifest> content);

/// Returns the route of a request, or nullptr if none matches.
const route_policy* find_route(const route_table& table, const std::string& host,
                               std::string_view path);

/// Returns the account of a bearer key, or nullptr if the key is empty or unknown.
const account_policy* find_account_of_key(const route_table& table, std::string_view key);

/// Returns the index of the tier for requests with these urgencies.
int tier_of(const manifest& m, int account_urgency, int route_urgency);

/// Returns a tier for each pair of account and route urgency in the manifest, most urgent first.
std::vector<tier_policy> make_tiers(const manifest& m);

/// Returns a service of the route, selected by weight. draw is a random number from 0 to 1.
const std::string& choose_service(const route_policy& route, double draw);

} // namespace almondline::gateway
