#include "routing/internal/load.h"
#include "routing/internal/prefix_cache_index.h"
#include "routing/request_rate.h"
#include "routing/routing.h"

#include <algorithm>
#include <cstdio>

namespace almondline::routing {

namespace {

candidate_state state_of(const replica_table& table, const replica& server,
                         const request_shape& request, steady_time now)
{
    if (server.is_leaving || server.spec.is_leaving) {
        return candidate_state::leaving;
    }
    if (is_draining(server)) {
        return candidate_state::draining;
    }
    if (!has_model(server, request.model)) {
        return candidate_state::other_model;
    }
    const auto& excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), server.spec.id) != excluded.end()) {
        return candidate_state::excluded;
    }
    if (!allows_request(server.limiter, table.rate_share, now)) {
        return candidate_state::rate_limited;
    }
    if (is_probe_due(table, server, now)) {
        return candidate_state::probe;
    }
    if (is_ejected(table, server, now)) {
        return candidate_state::ejected;
    }
    if (used_slots(table, server, now) >= slot_limit(table, server)) {
        return candidate_state::full;
    }
    if (!fits_kv(table, server, request)) {
        return candidate_state::out_of_kv;
    }
    const std::chrono::duration<double> limit = table.config.max_prefill_wait;
    if (limit.count() > 0 && server.in_flight > 0 && prefill_wait(server, now) > limit.count()) {
        return candidate_state::prefill_busy;
    }
    return candidate_state::usable;
}

/// Returns the share of slots in use by own requests, over all replicas that may get requests.
double mean_slot_use(const replica_table& table)
{
    double used = 0;
    double all = 0;
    for (const replica& each : table.replicas) {
        if (each.is_present && !each.is_leaving && !is_draining(each)) {
            used += each.in_flight;
            all += each.spec.max_in_flight;
        }
    }
    return all > 0 ? used / all : 0;
}

struct expectation {
    double hit_tokens = 0;
    double first_token = 0; ///< seconds
    double score = 0;       ///< weighted seconds
};

/// Returns the seconds to the first token that count in a score: those beyond the objective, or all
/// of them if there is none. This keeps fast replicas free for the requests that need them.
double late_seconds(const request_shape& request, double first_token)
{
    if (!request.first_token_objective) {
        return first_token;
    }
    const std::chrono::duration<double> objective = *request.first_token_objective;
    return std::max(0.0, first_token - objective.count());
}

bool is_remote(const replica& server, const request_shape& request)
{
    return !request.failure_domain.empty() && !server.spec.failure_domain.empty() &&
           request.failure_domain != server.spec.failure_domain;
}

bool is_overdue(const request_shape& request, double seconds)
{
    if (!request.time_left) {
        return false;
    }
    const std::chrono::duration<double> left = *request.time_left;
    return seconds > left.count();
}

expectation expect(const replica_table& table, const replica& server, const request_shape& request,
                   double hit_tokens, double mean, steady_time now)
{
    const double share = static_cast<double>(server.in_flight + 1) / server.spec.max_in_flight;
    expectation result;
    // A popular prefix must not attract all of its requests to the replica that had it first.
    result.hit_tokens = share <= mean + table.config.affinity_slack ? hit_tokens : 0;
    const double prefill = (request.prompt_tokens - result.hit_tokens) / server.prefill_rate;
    const double others = others_in_flight(table, server, now) / server.spec.max_in_flight;
    result.first_token = prefill_wait(server, now) + prefill;
    const double decode = decode_time(table, server, request.output_tokens, share + others);
    result.score = late_seconds(request, result.first_token) + table.config.decode_weight * decode +
                   table.config.interference_weight * prefill * server.in_flight +
                   table.config.failure_penalty * server.failure_rate +
                   table.config.balance_weight * share;
    if (is_remote(server, request)) {
        result.score += table.config.remote_penalty;
    }
    if (is_overdue(request, result.first_token + table.config.overdue_margin * decode)) {
        result.score += table.config.overdue_penalty;
    }
    return result;
}

std::string describe(const choice& chosen, bool is_probe, std::size_t usable)
{
    if (is_probe) {
        return "probe of a replica that failed, was silent or was slow";
    }
    char text[160];
    const int n = std::snprintf(text, sizeof text,
                                "lowest score %.3f of %zu usable, first token %.3f s, hit %.0f",
                                chosen.score, usable, chosen.first_token, chosen.hit_tokens);
    return {text, static_cast<std::size_t>(std::clamp(n, 0, static_cast<int>(sizeof text) - 1))};
}

/// Adds the slots of a replica that advertises a request rate. Only as many of them count as its
/// rate lets requests start now.
void count_rate_limited(const replica_table& table, const replica& server, slot_counts& counts,
                        steady_time now)
{
    const int limit = slot_limit(table, server);
    const int used = used_slots(table, server, now);
    const int startable = available_requests(server.limiter, table.rate_share, now);
    const int free = std::clamp(limit - used, 0, startable);
    const int total = std::clamp(used + free, 1, limit);
    counts.total += total;
    counts.free += free;
    counts.free_headroom += server.keeps_headroom ? free : 0;
    counts.rate_limited_total += total;
    counts.rate_limited_slots += limit;
    counts.rate_limit += granted_rate(server.limiter, table.rate_share);
}

} // namespace

std::optional<choice> choose(const replica_table& table, const request_shape& request,
                             steady_time now)
{
    const std::vector<double> hits = expected_hits(table, request);
    const double mean = mean_slot_use(table);
    choice best;
    const replica* chosen = nullptr;
    int best_rank = 3; // probes first, headroom last
    std::size_t usable = 0;
    best.candidates.reserve(table.replicas.size());
    for (std::size_t i = 0; i < table.replicas.size(); ++i) {
        const replica& each = table.replicas[i];
        if (!each.is_present) {
            continue;
        }
        candidate& entry = best.candidates.emplace_back();
        entry.id = each.spec.id;
        entry.state = state_of(table, each, request, now);
        if (entry.state != candidate_state::usable && entry.state != candidate_state::probe) {
            continue;
        }
        const expectation expected = expect(table, each, request, hits[i], mean, now);
        entry.score = expected.score;
        entry.hit_tokens = expected.hit_tokens;
        usable += entry.state == candidate_state::usable ? 1 : 0;
        const bool is_due = entry.state == candidate_state::probe;
        const int rank = is_due ? 0 : (request.leaves_headroom && each.keeps_headroom ? 2 : 1);
        if (rank < best_rank || (rank == best_rank && expected.score < best.score)) {
            chosen = &each;
            best_rank = rank;
            best.score = expected.score;
            best.hit_tokens = expected.hit_tokens;
            best.first_token = expected.first_token;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    best.id = chosen->spec.id;
    best.address = chosen->spec.address;
    best.reason = describe(best, best_rank == 0, usable);
    return best;
}

slot_counts count_slots(const replica_table& table, steady_time now)
{
    slot_counts counts;
    for (const replica& each : table.replicas) {
        if (!each.is_present || each.is_leaving || each.spec.is_leaving || is_draining(each) ||
            (each.has_known_models && each.models.empty())) {
            continue;
        }
        if (is_ejected(table, each, now)) {
            const bool is_due = is_probe_due(table, each, now) &&
                                allows_request(each.limiter, table.rate_share, now);
            const int probes = is_due ? 1 : 0;
            counts.total += probes;
            counts.free += probes;
            continue;
        }
        if (each.limiter.rate) {
            count_rate_limited(table, each, counts, now);
            continue;
        }
        const int limit = slot_limit(table, each);
        const int free = std::max(0, limit - used_slots(table, each, now));
        counts.total += limit;
        counts.free += free;
        counts.free_headroom += each.keeps_headroom ? free : 0;
    }
    return counts;
}

} // namespace almondline::routing
