#include "membership/wire_format.h"

#include "peer/wire.h"

#include <algorithm>
#include <vector>

namespace almondline::membership {

namespace {

constexpr double millicores_per_core = 1000;
constexpr double max_millicores = 1e9;

std::int32_t to_millicores(double cores)
{
    return static_cast<std::int32_t>(std::min(cores * millicores_per_core, max_millicores));
}

wire::member_state::type to_wire(member_status status)
{
    switch (status) {
    case member_status::alive:
        return wire::member_state::alive;
    case member_status::suspect:
        return wire::member_state::suspect;
    case member_status::dead:
        return wire::member_state::dead;
    case member_status::leaving:
        return wire::member_state::leaving;
    }
    return wire::member_state::alive;
}

bool from_wire(wire::member_state::type state, member_status& status)
{
    switch (state) {
    case wire::member_state::alive:
        status = member_status::alive;
        return true;
    case wire::member_state::suspect:
        status = member_status::suspect;
        return true;
    case wire::member_state::dead:
        status = member_status::dead;
        return true;
    case wire::member_state::leaving:
        status = member_status::leaving;
        return true;
    }
    return false; // a state that only later versions have
}

std::vector<wire::member_update> to_wire(const std::vector<member>& members)
{
    std::vector<wire::member_update> updates;
    for (const auto& it : members) {
        wire::member_update update;
        update.__set_instance_id(it.id);
        update.__set_incarnation(it.incarnation);
        update.__set_state(to_wire(it.status));
        update.__set_peer_address(it.peer_address);
        update.__set_caller_address(it.caller_address);
        update.__set_failure_domain(it.failure_domain);
        update.__set_manifest_version(it.manifest_version);
        update.__set_refutation(it.refutation);
        if (it.cores > 0) {
            update.__set_millicores(to_millicores(it.cores));
        }
        updates.push_back(std::move(update));
    }
    return updates;
}

std::vector<member> from_wire(const std::vector<wire::member_update>& updates)
{
    std::vector<member> members;
    for (const auto& it : updates) {
        member m;
        if (it.instance_id.empty() || !from_wire(it.state, m.status)) {
            continue;
        }
        m.id = it.instance_id;
        m.incarnation = it.incarnation;
        m.peer_address = it.peer_address;
        m.caller_address = it.caller_address;
        m.failure_domain = it.failure_domain;
        m.manifest_version = it.manifest_version;
        m.refutation = it.refutation;
        m.cores = std::max(0, it.millicores) / millicores_per_core;
        members.push_back(std::move(m));
    }
    return members;
}

template <class T>
void fill(const probe_message& message, T& probe)
{
    probe.__set_nonce(message.nonce);
    probe.__set_updates(to_wire(message.updates));
    if (!message.indirect_target.empty()) {
        probe.__set_indirect_target(message.indirect_target);
    }
}

template <class T>
void read(const T& probe, bool is_ack, probe_message& message)
{
    message.is_ack = is_ack;
    message.nonce = probe.nonce;
    message.updates = from_wire(probe.updates);
    message.indirect_target = probe.indirect_target;
}

} // namespace

void to_wire(const probe_message& message, wire::envelope& envelope)
{
    if (message.is_ack) {
        wire::probe_ack ack;
        fill(message, ack);
        envelope.__set_ping_ack(ack);
        return;
    }
    wire::probe probe;
    fill(message, probe);
    envelope.__set_ping(probe);
}

bool from_wire(const wire::envelope& envelope, probe_message& message)
{
    if (envelope.__isset.ping) {
        read(envelope.ping, false, message);
        return true;
    }
    if (envelope.__isset.ping_ack) {
        read(envelope.ping_ack, true, message);
        return true;
    }
    return false;
}

} // namespace almondline::membership
