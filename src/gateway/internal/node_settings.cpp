#include "gateway/internal/node_settings.h"

#include <chrono>
#include <cstddef>
#include <utility>

namespace almondline::gateway {

using std::chrono::milliseconds;

namespace {

/// Servers in a pool slice. A granter with half a core can decide for about this many.
constexpr std::size_t slice_model_servers = 16;
constexpr std::size_t slice_plain_servers = 6;

// Covers several seconds at 100 requests per second.
constexpr std::size_t max_decision_lines = 1'000;
constexpr double bytes_per_megabit = 1e6 / 8;
/// Share of the network link that texts of manifests may take. The rest is for requests.
constexpr double manifest_link_share = 0.5;

// Requests have latency objectives of a few hundred milliseconds, so a failed granter must be
// replaced within about one second.
membership::membership_config fast_membership()
{
    membership::membership_config config;
    config.probe_interval = milliseconds{250};
    config.retry_interval = milliseconds{125};
    config.suspect_after = milliseconds{500};
    config.dead_after = milliseconds{1'500};
    config.gossip_interval = milliseconds{100};
    config.full_rate_members = 64;
    config.successors = 6;
    config.remove_after = milliseconds{10'000};
    return config;
}

} // namespace

fleet::node_settings make_node_settings(const gateway_settings& settings,
                                        const membership::member& self,
                                        const fleet::manifest_source& manifests)
{
    fleet::node_settings out;
    out.self = self;
    out.membership = fast_membership();
    out.peer.instance_id = self.id;
    out.peer.incarnation = self.incarnation;
    out.peer.failure_domain = self.failure_domain;
    parse_endpoint(self.peer_address, out.peer.listen);
    out.peer.unresponsive_timeout = milliseconds{1'000};
    out.peer.keepalive_delay = milliseconds{250};
    out.credit_client.instance_id = self.id;
    out.credit_client.resend_after = milliseconds{400};
    out.credit_client.max_resend_after = milliseconds{1'600};
    out.credit_client.holdings_interval = milliseconds{2'000};
    out.credit_client.confirm_before_expiry = milliseconds{250};
    out.pools.has_common_owner = true;
    out.pools.allowances = settings.allowances;
    out.pools.slices = {slice_model_servers, slice_plain_servers};
    out.pools.yield_share = 0.5;
    out.pools.granter.credit_lifetime = milliseconds{1'500};
    out.pools.granter.takeover_delay = milliseconds{100};
    out.pools.granter.holder_timeout = milliseconds{4'000};
    out.pools.granter.max_logged_candidates = 3;
    out.pools.granter.routing.failure_weight = 0.15;
    out.pools.granter.routing.eject_above = 0.6;
    out.pools.granter.routing.recover_below = 0.4;
    out.pools.granter.routing.failure_penalty = 0.3;
    out.pools.granter.routing.balance_weight = 0.02;
    out.pools.granter.routing.slow_below = 0;
    out.pools.granter.routing.overdue_penalty = 5;
    out.pools.granter.routing.interference_weight = 0.3;
    out.pools.granter.routing.remote_penalty = 0.005;
    out.pools.granter.routing.decode_weight = 0.005;
    out.pools.granter.routing.uses_ejected_when_none_healthy = true;
    out.pools.granter.routing.max_probe_interval = milliseconds{4'000};
    out.manifest = manifests;
    out.manifest.bytes_per_second = settings.link_mbps * bytes_per_megabit * manifest_link_share;
    out.max_decision_lines = max_decision_lines;
    out.suspects_keep_pools = false;
    out.solo_ownership_delay = milliseconds{700};
    out.minority_ownership_delay = milliseconds{1'500};
    return out;
}

fleet::server_list_settings make_server_list_settings(const gateway_settings& settings)
{
    fleet::server_list_settings out;
    out.call_interval = settings.server_interval;
    out.watch_wait = settings.server_wait;
    return out;
}

fleet::registration_settings make_registration(std::string key, std::string value)
{
    fleet::registration_settings out;
    out.key = std::move(key);
    out.value = std::move(value);
    out.lifetime = milliseconds{15'000};
    out.renew_interval = milliseconds{5'000};
    return out;
}

} // namespace almondline::gateway
