#pragma once

#include "manifest/account_keys.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondline::gateway {

/// A manifest with what requests look up in it. Immutable.
struct route_table {
    std::shared_ptr<const manifest> content;
    /// Routes by host, the longest prefix first. Points into content.
    std::unordered_map<std::string, std::vector<const route_policy*>> routes;
    account_keys accounts_by_key_hash;
};

std::shared_ptr<const route_table> make_route_table(std::shared_ptr<const manifest> content);

/// Route of a request, nullptr if there is none.
const route_policy* find_route(const route_table& table, const std::string& host,
                               std::string_view path);

/// Account of a bearer key, nullptr if the key is unknown.
const account_policy* find_account_of_key(const route_table& table, std::string_view key);

/// Index of the tier that requests of this urgency belong to.
int tier_of(const manifest& m, int account_urgency, int route_urgency);

/// Tier names for all pairs of urgencies in the manifest, most urgent first.
std::vector<tier_policy> make_tiers(const manifest& m);

/// Service for a request: the only one, or one drawn by weight with a number from 0 to 1.
const std::string& choose_service(const route_policy& route, double draw);

} // namespace almondline::gateway
