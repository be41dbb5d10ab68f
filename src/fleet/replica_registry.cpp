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

bool apply_entry(replica_registry& registry, const listed_instance& server, bool is_logged)
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
    const bool is_old_report =
        server.report_number != 0 && server.report_number <= known.info.report_number;
    if (is_same_process && known.is_gone && registry.was_restored && is_old_report) {
        return false;
    }
    auto next = server;
    next.is_leaving = next.is_leaving || (is_same_process && known.info.is_leaving);
    next.report_number = is_same_process ? std::max(next.report_number, known.info.report_number)
                                         : next.report_number;
    if (!is_new && !known.is_gone && is_same(known.info, next)) {
        known.info.report_number = next.report_number;
        return false;
    }
    known = {next, false, {}, is_same_process ? known.backoff_until : steady_time{}};
    if (is_logged) {
        log_change(next, next.is_leaving ? "leaving" : "ready");
    }
    return true;
}

void mark_gone(registered_replica& replica, steady_time now)
{
    replica.is_gone = true;
    replica.gone_since = now;
    log_change(replica.info, "gone");
}

bool remove_missing(replica_registry& registry, const std::set<std::string>& listed,
                    steady_time now)
{
    bool is_changed = false;
    for (auto& [id, it] : registry.replicas) {
        if (it.is_gone || listed.contains(id)) {
            continue;
        }
        mark_gone(it, now);
        is_changed = true;
    }
    return is_changed;
}

void remove_expired(replica_registry& registry, steady_time now)
{
    std::erase_if(registry.replicas, [&](const auto& it) {
        return it.second.is_gone &&
               now - it.second.gone_since > registry.settings.remove_gone_after;
    });
}

} // namespace

void start_era(replica_registry& registry, std::uint64_t era, steady_time now)
{
    registry.era = era;
    if (registry.replicas.empty()) {
        return; // nothing is known from before
    }
    registry.revision = 0;
    registry.was_restored = true;
    start_return_grace(registry, now);
}

bool apply_read(replica_registry& registry, const std::vector<listed_instance>& servers,
                std::uint64_t revision, steady_time now)
{
    if (revision < registry.revision) {
        return false;
    }
    registry.revision = revision;
    std::set<std::string> listed;
    bool is_changed = false;
    // One line per server would be tens of thousands of lines when a large fleet starts.
    const bool is_first = registry.replicas.empty();
    for (const auto& it : servers) {
        listed.insert(it.id);
        is_changed = apply_entry(registry, it, !is_first) || is_changed;
    }
    if (is_first && is_changed) {
        log_event("fleet", log_level::info, "replicas-read",
                  {{"replicas", servers.size()}, {"revision", revision}});
    }
    if (is_complete(registry, now)) {
        is_changed = remove_missing(registry, listed, now) || is_changed;
    }
    remove_expired(registry, now);
    return is_changed;
}

bool apply_changes(replica_registry& registry, const std::vector<instance_change>& changes,
                   steady_time now)
{
    bool is_changed = false;
    for (const auto& it : changes) {
        if (it.revision <= registry.revision) {
            continue;
        }
        registry.revision = it.revision;
        if (it.instance) {
            is_changed = apply_entry(registry, *it.instance, true) || is_changed;
            continue;
        }
        const auto known = registry.replicas.find(it.id);
        const bool is_present = known != registry.replicas.end() && !known->second.is_gone;
        if (is_present && is_complete(registry, now)) {
            mark_gone(known->second, now);
            is_changed = true;
        }
    }
    remove_expired(registry, now);
    return is_changed;
}

void start_return_grace(replica_registry& registry, steady_time now)
{
    registry.complete_from = now + registry.settings.return_grace;
}

bool is_complete(const replica_registry& registry, steady_time now)
{
    return now >= registry.complete_from;
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

bool note_leaving(replica_registry& registry, const std::string& id)
{
    const auto it = registry.replicas.find(id);
    if (it == registry.replicas.end() || it->second.is_gone || it->second.info.is_leaving) {
        return false;
    }
    it->second.info.is_leaving = true;
    log_change(it->second.info, "leaving");
    return true;
}

void note_backoff(replica_registry& registry, const std::string& id, steady_time until)
{
    const auto it = registry.replicas.find(id);
    if (it != registry.replicas.end()) {
        it->second.backoff_until = std::max(it->second.backoff_until, until);
        registry.backoff_until = std::max(registry.backoff_until, until);
    }
}

std::vector<std::string> replicas_in_backoff(const replica_registry& registry,
                                             const std::string& service, steady_time now)
{
    std::vector<std::string> out;
    if (now >= registry.backoff_until) {
        return out;
    }
    for (const auto& [id, it] : registry.replicas) {
        if (it.info.service == service && now < it.backoff_until) {
            out.push_back(id);
        }
    }
    return out;
}

bool may_dispatch(const replica_registry& registry, const std::string& id, steady_time now)
{
    const auto it = registry.replicas.find(id);
    return it != registry.replicas.end() && !it->second.is_gone && !it->second.info.is_leaving &&
           now >= it->second.backoff_until;
}

} // namespace almondline::fleet
