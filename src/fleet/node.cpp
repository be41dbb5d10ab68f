#include "fleet/node.h"

#include "common/hash.h"
#include "common/log.h"
#include "membership/wire_format.h"
#include "peer/wire.h"

#include <algorithm>

namespace almondline::fleet {

using membership::member_status;

node::node(boost::asio::io_context& io, const clock_source& clock, key_value_store& store,
           const node_settings& settings, node_callbacks callbacks)
    : clock_{clock}, suspects_keep_pools_{settings.suspects_keep_pools},
      solo_ownership_from_{clock.now() + settings.solo_ownership_delay},
      minority_ownership_from_{clock.now() + settings.minority_ownership_delay},
      callbacks_{std::move(callbacks)}, members{settings.self, settings.membership,
                                                stable_hash(settings.self.id), clock.now()},
      transport{io, clock, settings.peer,
                [this](const std::string& id) { return peer_address_of(id); },
                [this](const std::string& from, const wire::envelope& message) {
                    receive(from, message);
                }},
      router{settings.self.id, transport}, decisions{clock, settings.max_decision_lines},
      owned_pools{settings.self.id,
                  clock,
                  router,
                  decisions,
                  [this](const std::string& id) { return failure_domain_of(id); },
                  settings.pools},
      credit_client{settings.credit_client, clock, router,
                    [this](const std::string& pool) { return owned_pools.owner_of(pool); },
                    decisions},
      worker_{io}, manifests{members,
                             router,
                             store,
                             clock,
                             settings.manifest,
                             [this](std::function<void()> work, std::function<void()> done) {
                                 worker_.run(std::move(work), std::move(done));
                             },
                             [this] { on_manifest(); }}
{
    router.set_local_handler(
        [this](const std::string& from, const wire::envelope& message) { receive(from, message); });
}

void node::on_manifest()
{
    const auto content = manifests.usable();
    if (!content) {
        return;
    }
    owned_pools.apply_manifest(content);
    callbacks_.on_manifest();
    credit_client.check_owners();
    refuse_removed_pools();
}

std::string node::peer_address_of(const std::string& id) const
{
    const auto* it = members.find(id);
    return it == nullptr ? std::string{} : it->peer_address;
}

std::string node::failure_domain_of(const std::string& id) const
{
    const auto* it = members.find(id);
    return it == nullptr ? std::string{} : it->failure_domain;
}

void node::send_all(const std::vector<membership::outgoing_message>& messages)
{
    for (const auto& it : messages) {
        wire::envelope envelope;
        membership::to_wire(it.message, envelope);
        transport.send(it.to, envelope);
    }
}

void node::receive(const std::string& from, const wire::envelope& message)
{
    const auto now = clock_.now();
    membership::probe_message probe;
    if (membership::from_wire(message, probe)) {
        send_all(members.receive(from, probe, now));
        if (!probe.updates.empty()) {
            manifests.on_peer(probe.updates.front(), now);
        }
        return;
    }
    if (manifests.handle(from, message, now) || callbacks_.on_message(from, message)) {
        return;
    }
    owned_pools.handle(from, message);
    credit_client.handle(from, message);
}

void node::tick(steady_time now)
{
    send_all(members.tick(now));
    check_members();
    manifests.tick(now);
    owned_pools.tick(now);
    credit_client.tick(now);
}

void node::start_drain()
{
    is_draining_ = true;
    members.set_leaving(clock_.now());
    check_members();
}

void node::apply_list(const std::vector<listed_instance>& instances)
{
    members.apply_list(instances, clock_.now());
    apply_servers(instances);
}

void node::apply_servers(const std::vector<listed_instance>& servers)
{
    owned_pools.apply_list(servers);
    refuse_removed_pools();
}

void node::refuse_removed_pools()
{
    credit_client.refuse_removed_pools(
        [this](const std::string& pool) { return owned_pools.exists(pool); });
}

/// Returns whether this instance may own pools. Processes that start together would otherwise each
/// own all pools until they know each other.
bool node::may_own() const
{
    const auto now = clock_.now();
    const bool is_solo_delay_over = now >= solo_ownership_from_;
    const bool is_minority_delay_over = now >= minority_ownership_from_;
    // This runs on every tick. The counts iterate over all members and matter only after a start.
    if (is_solo_delay_over && is_minority_delay_over) {
        return true;
    }
    const auto listed = members.listed_count();
    if (listed == 0) {
        return is_solo_delay_over;
    }
    return is_minority_delay_over || 2 * members.listed_alive_count() >= listed;
}

std::vector<membership::member> node::granter_candidates() const
{
    std::vector<membership::member> out;
    for (const auto& it : members.all_members()) {
        const bool is_usable = it.status == member_status::alive ||
                               (suspects_keep_pools_ && it.status == member_status::suspect);
        if (is_usable && it.incarnation != 0) {
            out.push_back(it);
        }
    }
    if (!is_draining_ && may_own_) {
        out.push_back(members.self());
    }
    return out;
}

bool node::has_live_peer() const
{
    const auto all = members.all_members();
    return std::any_of(all.begin(), all.end(), [](const auto& it) {
        return it.incarnation != 0 && it.status == member_status::alive;
    });
}

std::size_t node::possible_member_count() const
{
    const auto all = members.all_members();
    const auto count = std::count_if(all.begin(), all.end(), [](const auto& it) {
        return it.incarnation != 0 && it.status != member_status::dead;
    });
    return static_cast<std::size_t>(count) + 1;
}

/// Returns the share of the allowances that this instance may grant. Unreachable instances may
/// follow another granter. The minority side of a network partition grants half of its share, so
/// that both sides together stay near the allowance.
double node::allowance_share() const
{
    const auto all = members.all_members();
    const auto suspects = std::count_if(all.begin(), all.end(), [](const auto& it) {
        return it.incarnation != 0 && it.status == member_status::suspect;
    });
    const auto possible = static_cast<double>(possible_member_count());
    const double reachable = possible - static_cast<double>(suspects);
    const bool is_minority = reachable * 2 <= possible;
    return is_minority ? reachable / possible / 2 : 1.0;
}

void node::check_members()
{
    const auto changes = members.changes();
    const bool may_own_now = may_own();
    if (changes == applied_changes_ && may_own_now == may_own_) {
        return;
    }
    applied_changes_ = changes;
    may_own_ = may_own_now;
    const auto all = members.all_members();
    member_count_ = all.size() + 1;
    for (const auto& it : all) {
        if (it.status == member_status::dead) {
            owned_pools.remove_holder(it.id);
        }
    }
    owned_pools.update_ownership(granter_candidates());
    owned_pools.set_allowance_share(allowance_share());
    credit_client.check_owners();
    log_event(
        "membership", log_level::info, "members-changed",
        {{"members", member_count_}, {"callers_addresses", members.advertised_members().size()}});
    callbacks_.on_members();
}

} // namespace almondline::fleet
