#include "routing/internal/load.h"

#include <algorithm>
#include <cmath>

namespace almondline::routing {

namespace {

constexpr std::size_t max_history = 128;
constexpr std::chrono::milliseconds history_step{100};
// An idle slow replica is probed at this interval, because its speed estimate would otherwise never
// recover.
constexpr std::chrono::seconds slow_probe_interval{5};

} // namespace

double others_in_flight(const replica_table& table, const replica& server, steady_time now)
{
    if (server.reported_others <= 0) {
        return 0;
    }
    const std::chrono::duration<double> age = now - server.report_taken;
    const std::chrono::duration<double> half_life = table.config.report_half_life;
    return server.reported_others * std::exp2(-age.count() / half_life.count());
}

double relative_speed(const replica_table& table, const replica& server)
{
    return std::min(1.0, server.decode_rate / table.classes[server.class_index].decode_rate);
}

int slot_limit(const replica_table& table, const replica& server)
{
    const double speed = relative_speed(table, server);
    if (speed >= table.config.slow_below) {
        return server.spec.max_in_flight;
    }
    return std::max(1, static_cast<int>(std::ceil(server.spec.max_in_flight * speed)));
}

int used_slots(const replica_table& table, const replica& server, steady_time now)
{
    return server.in_flight + static_cast<int>(others_in_flight(table, server, now));
}

bool is_unresponsive(const replica_table& table, const replica& server, steady_time now)
{
    // Without load reports (plain services), a long request can't be told from a hung server.
    const bool reports = server.last_report != steady_time{};
    return reports && server.in_flight > 0 &&
           now - server.last_progress > table.config.unresponsive_after;
}

bool is_ejected(const replica_table& table, const replica& server, steady_time now)
{
    if (table.config.uses_ejected_when_none_healthy && table.healthy == 0 && server.is_reachable) {
        return false;
    }
    return server.health == replica_health::ejected || is_unresponsive(table, server, now);
}

bool is_probe_due(const replica_table& table, const replica& server, steady_time now)
{
    if (is_ejected(table, server, now)) {
        return server.probes_in_flight == 0 && now >= server.next_probe;
    }
    return server.in_flight == 0 && relative_speed(table, server) < table.config.slow_below &&
           now - server.last_sample >= slow_probe_interval;
}

double prefill_wait(const replica& server, steady_time now)
{
    return std::max(0.0, std::chrono::duration<double>(server.prefill_free_at - now).count());
}

double decode_time(const replica_table& table, const replica& server, double output_tokens,
                   double batch_share)
{
    return output_tokens * (1 + table.config.batch_slowdown * batch_share) / server.decode_rate;
}

bool fits_kv(const replica_table& table, const replica& server, const request_shape& request)
{
    // A request that is larger than the cache runs alone, because it could never run otherwise.
    if (server.kv_capacity <= 0 || server.in_flight == 0) {
        return true;
    }
    return server.kv_tokens_used + request.prompt_tokens + request.output_tokens <=
           table.config.max_kv_share * server.kv_capacity;
}

int own_in_flight_at(const replica& server, steady_time at)
{
    for (auto it = server.history.rbegin(); it != server.history.rend(); ++it) {
        if (it->at <= at) {
            return it->in_flight;
        }
    }
    return server.history.empty() ? server.in_flight : server.history.front().in_flight;
}

void record_in_flight(replica& server, steady_time now)
{
    if (!server.history.empty() && now - server.history.back().at < history_step) {
        server.history.back().in_flight = server.in_flight;
        return;
    }
    server.history.push_back({now, server.in_flight});
    if (server.history.size() > max_history) {
        server.history.pop_front();
    }
}

} // namespace almondline::routing
