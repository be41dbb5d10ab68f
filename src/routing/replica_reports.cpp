#include "routing/internal/load.h"
#include "routing/internal/prefix_cache_index.h"
#include "routing/internal/replica_lookup.h"
#include "routing/request_rate.h"
#include "routing/routing.h"

#include <algorithm>
#include <string_view>

/// What replicas report about themselves, and the placement orders that they follow.
namespace almondline::routing {

namespace {

constexpr std::string_view draining_role = "draining";
constexpr std::string_view serving_role = "serving";

/// Returns true for the roles that placement orders set. An empty list of models from an engine
/// with such a role means that none is loaded.
bool is_managed_role(const std::string& role)
{
    return role == draining_role || role == serving_role;
}

void update_draining(replica& server, steady_time now)
{
    if (!is_draining(server)) {
        server.draining_since = {};
    }
    else if (server.draining_since == steady_time{}) {
        server.draining_since = now;
    }
}

} // namespace

bool on_advertised_rate(replica_table& table, const std::string& id,
                        std::optional<double> per_second, steady_time issued, steady_time now)
{
    replica* server = find(table, id);
    return server != nullptr &&
           update_limiter(server->limiter, per_second, issued, table.rate_share, now);
}

bool restore_rate(replica_table& table, const std::string& id, const advertised_rate& rate,
                  steady_time now)
{
    replica* server = find(table, id);
    return server != nullptr && restore_limiter(server->limiter, rate, table.rate_share, now);
}

bool is_rate_limited(const replica_table& table, const std::string& id)
{
    const auto it = table.index.find(id);
    return it != table.index.end() && table.replicas[it->second].limiter.rate.has_value();
}

bool is_draining(const replica& server)
{
    return server.is_ordered_to_drain || server.reports_draining;
}

bool has_model(const replica& server, const std::string& model)
{
    return model.empty() || !server.has_known_models ||
           std::find(server.models.begin(), server.models.end(), model) != server.models.end();
}

int unfinished_requests(const replica& server, std::chrono::milliseconds settle, steady_time now)
{
    const bool reports = server.last_report != steady_time{};
    const int reported = reports ? server.reported_requests : 0;
    const int known = std::max(server.in_flight, reported);
    if (!is_draining(server)) {
        return known;
    }
    const auto settled = server.draining_since + settle;
    const bool is_settled = now >= settled && (!reports || server.report_taken >= settled);
    return is_settled ? known : std::max(1, known);
}

void set_draining(replica_table& table, const std::set<std::string>& ids, steady_time now)
{
    for (replica& each : table.replicas) {
        if (each.is_present) {
            each.is_ordered_to_drain = ids.contains(each.spec.id);
            update_draining(each, now);
        }
    }
}

void on_load_report(replica_table& table, const std::string& id, const load_report& report,
                    steady_time now)
{
    replica* server = find(table, id);
    if (server == nullptr) {
        return;
    }
    server->is_leaving = server->is_leaving || report.is_leaving;
    server->last_report = now;
    server->last_progress = now;
    const steady_time taken = now - std::max(report.age, std::chrono::milliseconds{0});
    if (taken < server->report_taken) {
        return;
    }
    server->report_taken = taken;
    server->has_known_models =
        server->has_known_models || !report.models.empty() || is_managed_role(report.role);
    server->models = report.models;
    server->reports_draining = report.role == draining_role;
    update_draining(*server, now);
    server->reported_requests = report.running + report.waiting;
    server->reported_others =
        std::max(0, report.running + report.waiting - own_in_flight_at(*server, taken));
    if (report.kv_capacity_tokens > 0) {
        server->kv_capacity = report.kv_capacity_tokens;
        server->is_kv_reported = true;
    }
}

void on_cache_events(replica_table& table, const std::string& id, const cache_events& events,
                     steady_time)
{
    replica* server = find(table, id);
    if (server == nullptr) {
        return;
    }
    if (server->next_cache_event > 0 && events.first_sequence > server->next_cache_event) {
        server->cache_generation += 1;
    }
    const std::uint32_t index = index_of(table, *server);
    for (const cache_event& event : events.events) {
        if (event.sequence < server->next_cache_event) {
            continue;
        }
        server->next_cache_event = event.sequence + 1;
        if (event.kind == cache_event_kind::stored) {
            note_blocks(table, index, {event.block});
        }
        else {
            remove_block(table, index, event.block);
        }
    }
    server->next_cache_event = std::max(server->next_cache_event, events.next_sequence);
}

std::uint64_t last_cache_event(const replica_table& table, const std::string& id)
{
    const auto it = table.index.find(id);
    const bool is_known =
        it != table.index.end() && table.replicas[it->second].next_cache_event > 0;
    return is_known ? table.replicas[it->second].next_cache_event - 1 : 0;
}

} // namespace almondline::routing
