#include "gateway/answer_times.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondline::gateway {

using std::chrono::milliseconds;

namespace {

void include(slowest_answer& slowest, const slowest_answer& other)
{
    slowest.first = std::max(slowest.first, other.first);
    slowest.rest = std::max(slowest.rest, other.rest);
    slowest.ms_per_token = std::max(slowest.ms_per_token, other.ms_per_token);
}

} // namespace

void note_answer_time(answer_time_table& table, const std::string& route, const answer_time& time,
                      steady_time now)
{
    if (now - table.since >= table.period) {
        table.previous = std::exchange(table.current, {});
        table.since = now;
    }
    const double pace = time.tokens > 0 ? static_cast<double>(time.rest.count()) / time.tokens : 0;
    include(table.current[route], {time.first, time.rest, pace});
}

std::optional<milliseconds> expected_time(const answer_time_table& table, const std::string& route,
                                          double tokens)
{
    std::optional<slowest_answer> slowest;
    for (const auto* period : {&table.current, &table.previous}) {
        if (const auto it = period->find(route); it != period->end()) {
            slowest = slowest.value_or(slowest_answer{});
            include(*slowest, it->second);
        }
    }
    if (!slowest) {
        return std::nullopt;
    }
    if (tokens <= 0 || slowest->ms_per_token <= 0) {
        return slowest->first + slowest->rest;
    }
    const auto rest = static_cast<std::int64_t>(std::ceil(tokens * slowest->ms_per_token));
    return slowest->first + milliseconds{rest};
}

} // namespace almondline::gateway
