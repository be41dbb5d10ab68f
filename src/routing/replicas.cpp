#include "routing/internal/load.h"
#include "routing/internal/prefix_cache_index.h"
#include "routing/internal/replica_lookup.h"
#include "routing/internal/speed_estimates.h"
#include "routing/request_rate.h"
#include "routing/routing.h"

#include <algorithm>
#include <cmath>

namespace almondline::routing {

namespace {

steady_time add_seconds(steady_time from, double seconds)
{
    return from + std::chrono::duration_cast<steady_time::duration>(
                      std::chrono::duration<double>(seconds));
}

double seconds(std::chrono::milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

std::size_t find_class(replica_table& table, const std::string& name, double decode_rate)
{
    const auto it = std::find_if(table.classes.begin(), table.classes.end(),
                                 [&](const class_speed& each) { return each.name == name; });
    if (it != table.classes.end()) {
        return static_cast<std::size_t>(it - table.classes.begin());
    }
    table.classes.push_back({name, decode_rate});
    return table.classes.size() - 1;
}

/// Marks the fastest replicas, whose slots make up the headroom share, rounded up to whole
/// replicas. A pool that is too small keeps no headroom: one replica of two would be half of it.
void mark_headroom(replica_table& table)
{
    std::vector<replica*> present;
    int all = 0;
    for (replica& each : table.replicas) {
        each.keeps_headroom = false;
        if (each.is_present && !each.is_leaving) {
            present.push_back(&each);
            all += each.spec.max_in_flight;
        }
    }
    std::stable_sort(present.begin(), present.end(), [](const replica* a, const replica* b) {
        return a->spec.prefill_rate > b->spec.prefill_rate;
    });
    int kept = 0;
    for (replica* each : present) {
        const int kept_with_it = kept + each->spec.max_in_flight;
        if (kept >= table.config.headroom_share * all ||
            kept_with_it > table.config.max_headroom_share * all) {
            return;
        }
        each->keeps_headroom = true;
        kept += each->spec.max_in_flight;
    }
}

/// Removes a request from the requests in flight. Returns false if it was not in flight.
bool release(replica& server, const std::string& request_id, dispatched_work& work, steady_time now)
{
    const auto it = server.work.find(request_id);
    if (it == server.work.end()) {
        return false;
    }
    work = it->second;
    server.work.erase(it);
    server.in_flight -= 1;
    server.probes_in_flight -= work.is_probe ? 1 : 0;
    server.kv_tokens_used = server.in_flight == 0 ? 0 : server.kv_tokens_used - work.kv_tokens;
    if (server.in_flight == 0) {
        server.prefill_free_at = std::min(server.prefill_free_at, now);
    }
    record_in_flight(server, now);
    return true;
}

bool has_other_healthy(const replica_table& table, const replica& server)
{
    return std::any_of(table.replicas.begin(), table.replicas.end(), [&](const replica& each) {
        return &each != &server && each.is_present && !each.is_leaving && !each.spec.is_leaving &&
               each.health == replica_health::healthy;
    });
}

/// Subtracts the expected prefill time of a request that was released before its first token.
void cancel_prefill(replica& server, const dispatched_work& work)
{
    if (!work.has_first_token) {
        server.prefill_free_at =
            add_seconds(server.prefill_free_at, -work.uncached_tokens / server.prefill_rate);
    }
}

/// Releases a failed request. Returns false if the failure must not count again: requests in flight
/// when a server breaks fail together and are one failure. When they counted separately, an outage
/// of 1.5 s kept a server with 8 requests from being probed for 30 s.
bool release_failed(replica& server, const std::string& request_id, steady_time now)
{
    dispatched_work work;
    if (release(server, request_id, work, now)) {
        cancel_prefill(server, work);
    }
    return server.health != replica_health::ejected || work.is_probe;
}

void count_healthy(replica_table& table)
{
    table.healthy = static_cast<int>(
        std::count_if(table.replicas.begin(), table.replicas.end(), [](const replica& each) {
            return each.is_present && !each.is_leaving && !each.spec.is_leaving &&
                   each.health == replica_health::healthy;
        }));
}

void eject(replica_table& table, replica& server, steady_time now)
{
    server.health = replica_health::ejected;
    count_healthy(table);
    server.failures += 1;
    // Probing less often spares requests only while another replica can take them. Without one,
    // every request is refused until a probe succeeds.
    const bool is_replaceable = has_other_healthy(table, server);
    const int doublings = is_replaceable ? std::min(server.failures - 1, 10) : 0;
    server.next_probe =
        now + std::min<std::chrono::milliseconds>(table.config.probe_interval * (1 << doublings),
                                                  table.config.max_probe_interval);
}

/// Records a successful request. A replica that failed often is reinstated only after several
/// successes, one probe at a time.
void note_success(replica_table& table, replica& server, steady_time now)
{
    server.failures = 0;
    server.is_reachable = true;
    server.failure_rate -= table.config.failure_weight * server.failure_rate;
    if (server.health == replica_health::ejected) {
        server.next_probe = now;
    }
    if (server.health == replica_health::ejected &&
        server.failure_rate < table.config.recover_below) {
        server.health = replica_health::healthy;
        count_healthy(table);
    }
}

} // namespace

void update_replica(replica_table& table, const replica_spec& spec, steady_time now)
{
    replica* known = find(table, spec.id);
    if (known == nullptr) {
        const auto unused = std::find_if(table.replicas.begin(), table.replicas.end(),
                                         [](const replica& each) { return !each.is_present; });
        const bool is_reused = unused != table.replicas.end();
        known = is_reused ? &*unused : &table.replicas.emplace_back();
        *known = {};
        known->is_present = true;
        known->spec = spec;
        known->last_progress = now;
        table.index[spec.id] = index_of(table, *known);
    }
    const bool is_new_class = known->prefill_rate == 0 ||
                              known->spec.engine_class != spec.engine_class ||
                              known->spec.prefill_rate != spec.prefill_rate ||
                              known->spec.decode_rate != spec.decode_rate;
    if (known->spec.address != spec.address) {
        // A new address means a new process, with an empty cache.
        remove_all_blocks(table, index_of(table, *known));
        known->is_leaving = false;
        known->has_known_models = false;
        known->reports_draining = false;
        known->is_kv_reported = false;
        known->limiter = {};
    }
    known->spec = spec;
    known->class_index = find_class(table, spec.engine_class, spec.decode_rate);
    known->spec.max_in_flight = std::max(1, spec.max_in_flight);
    known->spec.prefill_rate = std::max(1.0, spec.prefill_rate);
    known->spec.decode_rate = std::max(0.1, spec.decode_rate);
    known->is_leaving = known->is_leaving || spec.is_leaving;
    if (is_new_class) {
        known->prefill_rate = known->spec.prefill_rate;
        known->decode_rate = known->spec.decode_rate;
        known->is_kv_reported = false;
    }
    if (!known->is_kv_reported) {
        known->kv_capacity = spec.kv_tokens;
    }
    count_healthy(table);
    mark_headroom(table);
}

void remove_replica(replica_table& table, const std::string& id)
{
    const auto it = table.index.find(id);
    if (it == table.index.end()) {
        return;
    }
    remove_all_blocks(table, it->second);
    table.replicas[it->second] = {};
    table.index.erase(it);
    count_healthy(table);
    mark_headroom(table);
}

void mark_leaving(replica_table& table, const std::string& id)
{
    if (replica* server = find(table, id)) {
        server->is_leaving = true;
        count_healthy(table);
        mark_headroom(table);
    }
}

void on_dispatch(replica_table& table, const std::string& id, const request_shape& request,
                 steady_time now)
{
    replica* server = find(table, id);
    if (server == nullptr || server->work.contains(request.request_id)) {
        return;
    }
    const double hit = expected_hits(table, request)[index_of(table, *server)];
    dispatched_work work;
    work.dispatched = now;
    work.prompt_tokens = request.prompt_tokens;
    work.output_tokens = request.output_tokens;
    work.uncached_tokens = std::max(0.0, request.prompt_tokens - hit);
    work.prefill_wait = prefill_wait(*server, now);
    work.prefill_rate = server->prefill_rate;
    work.batch_share = static_cast<double>(server->in_flight + 1) / server->spec.max_in_flight;
    work.kv_tokens = request.prompt_tokens + request.output_tokens;
    work.is_probe = is_probe_due(table, *server, now);
    if (work.is_probe) {
        server->probes_in_flight += 1;
        server->next_probe = now + table.config.probe_interval;
    }
    work.is_rate_limited = take_request(server->limiter, table.rate_share, now);
    if (server->in_flight == 0) {
        server->last_progress = now;
    }
    server->prefill_free_at = add_seconds(std::max(now, server->prefill_free_at),
                                          work.uncached_tokens / server->prefill_rate);
    server->in_flight += 1;
    server->kv_tokens_used += work.kv_tokens;
    server->work.emplace(request.request_id, work);
    record_in_flight(*server, now);
    note_blocks(table, index_of(table, *server), request.prefix_blocks);
}

void on_not_dispatched(replica_table& table, const std::string& id, const std::string& request_id,
                       steady_time now)
{
    dispatched_work work;
    replica* server = find(table, id);
    if (server == nullptr || !release(*server, request_id, work, now)) {
        return;
    }
    cancel_prefill(*server, work);
    if (work.is_rate_limited) {
        return_request(server->limiter, table.rate_share, now);
    }
}

void on_cancel(replica_table& table, const std::string& id, const std::string& request_id,
               steady_time now)
{
    dispatched_work work;
    replica* server = find(table, id);
    if (server != nullptr && release(*server, request_id, work, now)) {
        cancel_prefill(*server, work);
    }
}

void on_first_token(replica_table& table, const std::string& id, const std::string& request_id,
                    steady_time now)
{
    replica* server = find(table, id);
    if (server == nullptr) {
        return;
    }
    const auto it = server->work.find(request_id);
    if (it == server->work.end() || it->second.has_first_token) {
        return;
    }
    server->last_progress = now;
    it->second.has_first_token = true;
    const std::chrono::duration<double> time = now - it->second.dispatched;
    update_prefill_rate(table, *server, it->second, time.count(), now);
}

void on_finish(replica_table& table, const std::string& id, const std::string& request_id,
               const finish_report& report, steady_time now)
{
    dispatched_work work;
    replica* server = find(table, id);
    if (server == nullptr || !release(*server, request_id, work, now)) {
        return;
    }
    server->last_progress = now;
    note_success(table, *server, now);
    if (report.first_token.count() > 0 && !work.has_first_token) {
        update_prefill_rate(table, *server, work, seconds(report.first_token), now);
    }
    if (report.first_token.count() > 0 && report.duration > report.first_token) {
        update_decode_rate(table, *server, work, report.output_tokens,
                           seconds(report.duration - report.first_token), now);
    }
}

void on_failure(replica_table& table, const std::string& id, const std::string& request_id,
                steady_time now)
{
    replica* server = find(table, id);
    if (server == nullptr) {
        return;
    }
    const bool is_new_failure = release_failed(*server, request_id, now);
    server->failure_rate += table.config.failure_weight * (1 - server->failure_rate);
    if (is_new_failure && server->failure_rate > table.config.eject_above) {
        eject(table, *server, now);
    }
}

void on_unreachable(replica_table& table, const std::string& id, const std::string& request_id,
                    steady_time now)
{
    replica* server = find(table, id);
    if (server == nullptr) {
        return;
    }
    const bool is_new_failure = release_failed(*server, request_id, now);
    server->failure_rate = 1;
    server->is_reachable = false;
    if (is_new_failure) {
        eject(table, *server, now);
    }
}

} // namespace almondline::routing
