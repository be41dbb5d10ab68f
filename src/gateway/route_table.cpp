#include "gateway/route_table.h"

#include "common/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace almondline::gateway {

namespace {

std::string tier_name(int account_urgency, int route_urgency)
{
    return std::to_string(account_urgency) + "/" + std::to_string(route_urgency);
}

} // namespace

std::shared_ptr<const route_table> make_route_table(std::shared_ptr<const manifest> content)
{
    auto table = std::make_shared<route_table>();
    for (const auto& it : content->routes) {
        table->routes[it.host].push_back(&it);
    }
    for (auto& [host, routes] : table->routes) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto* a, const auto* b) {
            return a->prefix.size() > b->prefix.size();
        });
    }
    table->accounts_by_key_hash = index_account_keys(*content);
    table->content = std::move(content);
    return table;
}

const route_policy* find_route(const route_table& table, const std::string& host,
                               std::string_view path)
{
    const auto routes = table.routes.find(host);
    if (routes == table.routes.end()) {
        return nullptr;
    }
    const auto it = std::find_if(routes->second.begin(), routes->second.end(),
                                 [&](const auto* each) { return path.starts_with(each->prefix); });
    return it == routes->second.end() ? nullptr : *it;
}

const account_policy* find_account_of_key(const route_table& table, std::string_view key)
{
    if (key.empty()) {
        return nullptr;
    }
    return find_account_of_key(table.accounts_by_key_hash, sha256_hex(key));
}

std::vector<tier_policy> make_tiers(const manifest& m)
{
    std::set<int> account_urgencies;
    std::set<int> route_urgencies;
    for (const auto& it : m.accounts) {
        account_urgencies.insert(it.urgency);
    }
    for (const auto& it : m.routes) {
        route_urgencies.insert(it.urgency);
    }
    if (account_urgencies.empty()) {
        account_urgencies.insert(0);
    }
    std::vector<tier_policy> tiers;
    for (const int account : account_urgencies) {
        for (const int route : route_urgencies) {
            tiers.push_back({tier_name(account, route), 0, account});
        }
    }
    return tiers;
}

int tier_of(const manifest& m, int account_urgency, int route_urgency)
{
    return std::max(0, find_tier(m, tier_name(account_urgency, route_urgency)));
}

const std::string& choose_service(const route_policy& route, double draw)
{
    double sum = 0;
    for (const auto& it : route.services) {
        sum += it.weight;
    }
    double remaining = draw * sum;
    for (const auto& it : route.services) {
        remaining -= it.weight;
        if (remaining < 0) {
            return it.service;
        }
    }
    return route.services.back().service;
}

} // namespace almondline::gateway
