#include "routing/internal/learning.h"
#include "routing/internal/load.h"
#include "routing/internal/prefix_cache_index.h"
#include "routing/routing.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace almondline::routing {

namespace {

constexpr std::string_view draining_role = "draining";
constexpr std::string_view serving_role = "serving";
replica* find(replica_table& table, const std::string& id)
{
    const auto it = table.index.find(id);
    return it == table.index.end() ? nullptr : &table.replicas[it->second];
}

std::uint32_t index_of(const replica_table& table, const replica& of)
{
    return static_cast<std::uint32_t>(&of - table.replicas.data());
}

steady_time after(steady_time from, double seconds)
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

/// Marks the fastest replicas whose slots make up the share for headroom, rounded up to whole
/// replicas. A pool too small for that has none: one replica of two would be half of it.
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

/// An engine that took a role order is under placement: an empty list of models then means that
/// none is loaded.
bool is_managed_role(const std::string& role)
{
    return role == draining_role || role == serving_role;
}

void update_draining(replica& of, steady_time now)
{
    if (!is_draining(of)) {
        of.draining_since = {};
    }
    else if (of.draining_since == steady_time{}) {
        of.draining_since = now;
    }
}

/// Takes a request out of the work in flight. Returns false if it was not there.
bool release(replica& of, const std::string& request_id, dispatched_work& work, steady_time now)
{
    const auto it = of.work.find(request_id);
    if (it == of.work.end()) {
        return false;
    }
    work = it->second;
    of.work.erase(it);
    of.in_flight -= 1;
    of.probes_in_flight -= work.is_probe ? 1 : 0;
    of.kv_tokens_used = of.in_flight == 0 ? 0 : of.kv_tokens_used - work.kv_tokens;
    if (of.in_flight == 0) {
        of.prefill_free_at = std::min(of.prefill_free_at, now);
    }
    record_in_flight(of, now);
    return true;
}

bool has_healthy_other(const replica_table& table, const replica& of)
{
    return std::any_of(table.replicas.begin(), table.replicas.end(), [&](const replica& each) {
        return &each != &of && each.is_present && !each.is_leaving && !each.spec.is_leaving &&
               each.health == replica_health::healthy;
    });
}

/// Gives back the prefill time of a request that will not be computed.
void return_prefill(replica& of, const dispatched_work& work)
{
    if (!work.has_first_token) {
        of.prefill_free_at = after(of.prefill_free_at, -work.uncached_tokens / of.prefill_rate);
    }
}

/// Releases a failed request. Returns false if its failure says nothing new: requests in flight
/// when a server breaks fail together. That is one failure: counted one by one, a cut of 1.5 s kept
/// a server with 8 requests from being probed for 30 s.
bool count_failure(replica& of, const std::string& request_id, steady_time now)
{
    dispatched_work work;
    if (release(of, request_id, work, now)) {
        return_prefill(of, work);
    }
    return of.health != replica_health::ejected || work.is_probe;
}

void count_healthy(replica_table& table)
{
    table.healthy = static_cast<int>(
        std::count_if(table.replicas.begin(), table.replicas.end(), [](const replica& each) {
            return each.is_present && !each.is_leaving && !each.spec.is_leaving &&
                   each.health == replica_health::healthy;
        }));
}

void ease_off(replica_table& table, replica& of, steady_time now)
{
    of.health = replica_health::ejected;
    count_healthy(table);
    of.failures += 1;
    // Probing less often spares requests only while another replica takes them. Without one, each
    // request is refused until a probe succeeds.
    const bool is_replaceable = has_healthy_other(table, of);
    const int doublings = is_replaceable ? std::min(of.failures - 1, 10) : 0;
    of.next_probe =
        now + std::min<std::chrono::milliseconds>(table.config.probe_interval * (1 << doublings),
                                                  table.config.max_probe_interval);
}

/// A good answer. A replica that failed often is taken back after several of them, one probe at a
/// time.
void note_success(replica_table& table, replica& of, steady_time now)
{
    of.failures = 0;
    of.is_reachable = true;
    of.failure_rate -= table.config.failure_weight * of.failure_rate;
    if (of.health == replica_health::ejected) {
        of.next_probe = now;
    }
    if (of.health == replica_health::ejected && of.failure_rate < table.config.recover_below) {
        of.health = replica_health::healthy;
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
        // Another process, with an empty cache.
        forget_all_blocks(table, index_of(table, *known));
        known->is_leaving = false;
        known->has_known_models = false;
        known->reports_draining = false;
        known->is_kv_reported = false;
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
    forget_all_blocks(table, it->second);
    table.replicas[it->second] = {};
    table.index.erase(it);
    count_healthy(table);
    mark_headroom(table);
}

void mark_leaving(replica_table& table, const std::string& id)
{
    if (replica* of = find(table, id)) {
        of->is_leaving = true;
        count_healthy(table);
        mark_headroom(table);
    }
}

void on_dispatch(replica_table& table, const std::string& id, const request_shape& request,
                 steady_time now)
{
    replica* of = find(table, id);
    if (of == nullptr || of->work.contains(request.request_id)) {
        return;
    }
    const double hit = expected_hits(table, request)[index_of(table, *of)];
    dispatched_work work;
    work.dispatched = now;
    work.prompt_tokens = request.prompt_tokens;
    work.output_tokens = request.output_tokens;
    work.uncached_tokens = std::max(0.0, request.prompt_tokens - hit);
    work.prefill_wait = prefill_wait(*of, now);
    work.prefill_rate = of->prefill_rate;
    work.batch_share = static_cast<double>(of->in_flight + 1) / of->spec.max_in_flight;
    work.kv_tokens = request.prompt_tokens + request.output_tokens;
    work.is_probe = is_probe_due(table, *of, now);
    if (work.is_probe) {
        of->probes_in_flight += 1;
        of->next_probe = now + table.config.probe_interval;
    }
    if (of->in_flight == 0) {
        of->last_progress = now;
    }
    of->prefill_free_at =
        after(std::max(now, of->prefill_free_at), work.uncached_tokens / of->prefill_rate);
    of->in_flight += 1;
    of->kv_tokens_used += work.kv_tokens;
    of->work.emplace(request.request_id, work);
    record_in_flight(*of, now);
    note_blocks(table, index_of(table, *of), request.prefix_blocks);
}

void on_not_dispatched(replica_table& table, const std::string& id, const std::string& request_id,
                       steady_time now)
{
    dispatched_work work;
    replica* of = find(table, id);
    if (of != nullptr && release(*of, request_id, work, now)) {
        return_prefill(*of, work);
    }
}

void on_cancel(replica_table& table, const std::string& id, const std::string& request_id,
               steady_time now)
{
    on_not_dispatched(table, id, request_id, now);
}

void on_first_token(replica_table& table, const std::string& id, const std::string& request_id,
                    steady_time now)
{
    replica* of = find(table, id);
    if (of == nullptr) {
        return;
    }
    const auto it = of->work.find(request_id);
    if (it == of->work.end() || it->second.has_first_token) {
        return;
    }
    of->last_progress = now;
    it->second.has_first_token = true;
    const std::chrono::duration<double> time = now - it->second.dispatched;
    learn_prefill(table, *of, it->second, time.count(), now);
}

void on_finish(replica_table& table, const std::string& id, const std::string& request_id,
               const finish_report& report, steady_time now)
{
    dispatched_work work;
    replica* of = find(table, id);
    if (of == nullptr || !release(*of, request_id, work, now)) {
        return;
    }
    of->last_progress = now;
    note_success(table, *of, now);
    if (report.first_token.count() > 0 && !work.has_first_token) {
        learn_prefill(table, *of, work, seconds(report.first_token), now);
    }
    if (report.first_token.count() > 0 && report.duration > report.first_token) {
        learn_decode(table, *of, work, report.output_tokens,
                     seconds(report.duration - report.first_token), now);
    }
}

void on_failure(replica_table& table, const std::string& id, const std::string& request_id,
                steady_time now)
{
    replica* of = find(table, id);
    if (of == nullptr) {
        return;
    }
    const bool is_judged = count_failure(*of, request_id, now);
    of->failure_rate += table.config.failure_weight * (1 - of->failure_rate);
    if (is_judged && of->failure_rate > table.config.eject_above) {
        ease_off(table, *of, now);
    }
}

void on_unreachable(replica_table& table, const std::string& id, const std::string& request_id,
                    steady_time now)
{
    replica* of = find(table, id);
    if (of == nullptr) {
        return;
    }
    const bool is_judged = count_failure(*of, request_id, now);
    of->failure_rate = 1;
    of->is_reachable = false;
    if (is_judged) {
        ease_off(table, *of, now);
    }
}

bool is_draining(const replica& of)
{
    return of.is_ordered_to_drain || of.reports_draining;
}

bool has_model(const replica& of, const std::string& model)
{
    return model.empty() || !of.has_known_models ||
           std::find(of.models.begin(), of.models.end(), model) != of.models.end();
}

int unfinished_requests(const replica& of, std::chrono::milliseconds settle, steady_time now)
{
    const bool reports = of.last_report != steady_time{};
    const int reported = reports ? of.reported_requests : 0;
    const int known = std::max(of.in_flight, reported);
    if (!is_draining(of)) {
        return known;
    }
    const auto settled = of.draining_since + settle;
    const bool is_settled = now >= settled && (!reports || of.report_taken >= settled);
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
    replica* of = find(table, id);
    if (of == nullptr) {
        return;
    }
    of->is_leaving = of->is_leaving || report.is_leaving;
    of->last_report = now;
    of->last_progress = now;
    const steady_time taken = now - std::max(report.age, std::chrono::milliseconds{0});
    if (taken < of->report_taken) {
        return;
    }
    of->report_taken = taken;
    of->has_known_models =
        of->has_known_models || !report.models.empty() || is_managed_role(report.role);
    of->models = report.models;
    of->reports_draining = report.role == draining_role;
    update_draining(*of, now);
    of->reported_requests = report.running + report.waiting;
    of->reported_others =
        std::max(0, report.running + report.waiting - own_in_flight_at(*of, taken));
    if (report.kv_capacity_tokens > 0) {
        of->kv_capacity = report.kv_capacity_tokens;
        of->is_kv_reported = true;
    }
}

void on_cache_events(replica_table& table, const std::string& id, const cache_events& events,
                     steady_time)
{
    replica* of = find(table, id);
    if (of == nullptr) {
        return;
    }
    if (of->next_cache_event > 0 && events.first_sequence > of->next_cache_event) {
        of->cache_generation += 1;
    }
    const std::uint32_t index = index_of(table, *of);
    for (const cache_event& event : events.events) {
        if (event.sequence < of->next_cache_event) {
            continue;
        }
        of->next_cache_event = event.sequence + 1;
        if (event.kind == cache_event_kind::stored) {
            note_blocks(table, index, {event.block});
        }
        else {
            forget_block(table, index, event.block);
        }
    }
    of->next_cache_event = std::max(of->next_cache_event, events.next_sequence);
}

std::uint64_t last_cache_event(const replica_table& table, const std::string& id)
{
    const auto it = table.index.find(id);
    const bool is_known =
        it != table.index.end() && table.replicas[it->second].next_cache_event > 0;
    return is_known ? table.replicas[it->second].next_cache_event - 1 : 0;
}

} // namespace almondline::routing
