#include "routing/internal/load.h"

#include <algorithm>
#include <cmath>

namespace almondline::routing {

namespace {

constexpr std::size_t max_history = 128;
constexpr std::chrono::milliseconds history_step{100};
// An idle slow replica is tried again after a while: its learned speed would otherwise never
// recover.
constexpr std::chrono::seconds slow_probe_interval{5};

} // namespace

double others_in_flight(const replica_table& table, const replica& of, steady_time now)
{
    if (of.reported_others <= 0) {
        return 0;
    }
    const std::chrono::duration<double> age = now - of.report_taken;
    const std::chrono::duration<double> half_life = table.config.report_half_life;
    return of.reported_others * std::exp2(-age.count() / half_life.count());
}

double relative_speed(const replica_table& table, const replica& of)
{
    return std::min(1.0, of.decode_rate / table.classes[of.class_index].decode_rate);
}

int slot_limit(const replica_table& table, const replica& of)
{
    const double speed = relative_speed(table, of);
    if (speed >= table.config.slow_below) {
        return of.spec.max_in_flight;
    }
    return std::max(1, static_cast<int>(std::ceil(of.spec.max_in_flight * speed)));
}

int used_slots(const replica_table& table, const replica& of, steady_time now)
{
    return of.in_flight + static_cast<int>(others_in_flight(table, of, now));
}

bool is_silent(const replica_table& table, const replica& of, steady_time now)
{
    // Without load reports (plain services) a long request looks the same as a silent server.
    const bool reports = of.last_report != steady_time{};
    return reports && of.in_flight > 0 && now - of.last_progress > table.config.silence_limit;
}

bool is_ejected(const replica_table& table, const replica& of, steady_time now)
{
    if (table.config.uses_ejected_when_none_healthy && table.healthy == 0 && of.is_reachable) {
        return false;
    }
    return of.health == replica_health::ejected || is_silent(table, of, now);
}

bool is_probe_due(const replica_table& table, const replica& of, steady_time now)
{
    if (is_ejected(table, of, now)) {
        return of.probes_in_flight == 0 && now >= of.next_probe;
    }
    return of.in_flight == 0 && relative_speed(table, of) < table.config.slow_below &&
           now - of.last_sample >= slow_probe_interval;
}

double prefill_wait(const replica& of, steady_time now)
{
    return std::max(0.0, std::chrono::duration<double>(of.prefill_free_at - now).count());
}

double decode_time(const replica_table& table, const replica& of, double output_tokens,
                   double batch_share)
{
    return output_tokens * (1 + table.config.batch_slowdown * batch_share) / of.decode_rate;
}

bool fits_kv(const replica_table& table, const replica& of, const request_shape& request)
{
    // A request that is larger than the memory runs alone, rather than never.
    if (of.kv_capacity <= 0 || of.in_flight == 0) {
        return true;
    }
    return of.kv_tokens_used + request.prompt_tokens + request.output_tokens <=
           table.config.kv_headroom * of.kv_capacity;
}

int own_in_flight_at(const replica& of, steady_time at)
{
    for (auto it = of.history.rbegin(); it != of.history.rend(); ++it) {
        if (it->at <= at) {
            return it->in_flight;
        }
    }
    return of.history.empty() ? of.in_flight : of.history.front().in_flight;
}

void record_in_flight(replica& of, steady_time now)
{
    if (!of.history.empty() && now - of.history.back().at < history_step) {
        of.history.back().in_flight = of.in_flight;
        return;
    }
    of.history.push_back({now, of.in_flight});
    if (of.history.size() > max_history) {
        of.history.pop_front();
    }
}

} // namespace almondline::routing
