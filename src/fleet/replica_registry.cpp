#include "fleet/replica_registry.h"

#include "common/log.h"

#include <algorithm>
#include <set>

namespace almondline::fleet {

namespace {

bool is_same(const listed_instance& a, const listed_instance& b)
{
    return a.service == b.service && a.address == b.address && a.is_leaving == b.is_leaving &&
           a.max_in_flight == b.max_in_flight && a.incarnation == b.incarnation;
}

void log_change(const listed_instance& it, std::string_view state)
{
    log_event(
        "fleet", log_level::info, "replica-changed",
        {{"backend", it.id}, {"service", it.service}, {"address", it.address}, {"state", state}});
}

bool take(replica_registry& registry, const listed_instance& server)
{
    const auto [it, is_new] = registry.replicas.try_emplace(server.id);
    auto& known = it->second;
    if (!is_new && known.info.incarnation > server.incarnation) {
        return false;
    }
    const bool is_same_process = !is_new && known.info.incarnation == server.incarnation;
    if (is_same_process && known.is_gone && known.info.is_leaving) {
        return false;
    }
    auto next = server;
    next.is_leaving = next.is_leaving || (is_same_process && known.info.is_leaving);
    if (!is_new && !known.is_gone && is_same(known.info, next)) {
        return false;
    }
    known = {next, false, {}};
    log_change(next, next.is_leaving ? "leaving" : "ready");
    return true;
}

/// True if the list changed about as often as its servers' heartbeats since the last read.
bool was_written_meanwhile(const replica_registry& registry, std::uint64_t revision,
                           steady_time now)
{
    const auto present = std::count_if(registry.replicas.begin(), registry.replicas.end(),
                                       [](const auto& it) { return !it.second.is_gone; });
    const std::chrono::duration<double> missed = now - registry.last_success;
    const std::chrono::duration<double> heartbeat = registry.settings.heartbeat;
    const double expected = static_cast<double>(present) * missed.count() / heartbeat.count();
    const auto written = revision - std::min(revision, registry.revision);
    return static_cast<double>(written) > expected / 2;
}

bool remove_missing(replica_registry& registry, const std::set<std::string>& listed,
                    steady_time now)
{
    bool is_changed = false;
    for (auto& [id, it] : registry.replicas) {
        if (it.is_gone || listed.contains(id)) {
            continue;
        }
        it.is_gone = true;
        it.since = now;
        is_changed = true;
        log_change(it.info, "gone");
    }
    std::erase_if(registry.replicas, [&](const auto& it) {
        return it.second.is_gone && now - it.second.since > registry.settings.forget_after;
    });
    return is_changed;
}

} // namespace

bool apply_read(replica_registry& registry, const std::vector<listed_instance>& servers,
                std::uint64_t revision, steady_time now)
{
    const bool was_out = registry.last_success != steady_time{} &&
                         now - registry.last_success > registry.settings.outage_after;
    if (was_out && !was_written_meanwhile(registry, revision, now)) {
        registry.complete_from = now + registry.settings.return_grace;
    }
    registry.last_success = now;
    if (revision < registry.revision) {
        return false;
    }
    registry.revision = revision;
    std::set<std::string> listed;
    bool is_changed = false;
    for (const auto& it : servers) {
        listed.insert(it.id);
        is_changed = take(registry, it) || is_changed;
    }
    if (now >= registry.complete_from) {
        is_changed = remove_missing(registry, listed, now) || is_changed;
    }
    return is_changed;
}

bool note_leaving(replica_registry& registry, const std::string& id, std::int64_t incarnation)
{
    const auto it = registry.replicas.find(id);
    if (it == registry.replicas.end() || it->second.info.incarnation != incarnation ||
        it->second.info.is_leaving) {
        return false;
    }
    it->second.info.is_leaving = true;
    log_change(it->second.info, "leaving");
    return true;
}

std::vector<listed_instance> present_replicas(const replica_registry& registry)
{
    std::vector<listed_instance> out;
    for (const auto& [id, it] : registry.replicas) {
        if (!it.is_gone) {
            out.push_back(it.info);
        }
    }
    return out;
}

bool may_dispatch(const replica_registry& registry, const std::string& id)
{
    const auto it = registry.replicas.find(id);
    return it != registry.replicas.end() && !it->second.is_gone && !it->second.info.is_leaving;
}

} // namespace almondline::fleet
