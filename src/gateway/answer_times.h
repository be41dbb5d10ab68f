#pragma once

#include "common/clock.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

/// How long backend servers took lately to answer the requests of each route. An instance that is
/// about to stop takes only requests that can be finished before its end. The current time is
/// passed in.
namespace almondline::gateway {

/// Times of one complete response.
struct answer_time {
    std::chrono::milliseconds first{0}; ///< from the dispatch to the first event, or to the end
    std::chrono::milliseconds rest{0};  ///< from the first event to the end
    double tokens = 0;                  ///< generated in that time; 0 if unknown
};

/// The longest times of a route in one period.
struct slowest_answer {
    std::chrono::milliseconds first{0};
    std::chrono::milliseconds rest{0};
    double ms_per_token = 0;
};

struct answer_time_table {
    std::chrono::milliseconds period{60'000};
    std::map<std::string, slowest_answer> current; ///< by route
    std::map<std::string, slowest_answer> previous;
    steady_time since{}; ///< start of the current period
};

void note_answer_time(answer_time_table& table, const std::string& route, const answer_time& time,
                      steady_time now);

/// Returns the time that a server may take for a request of a route, judged by the slowest answers
/// of the last one to two periods; nothing if there were none. tokens is the expected length of the
/// output, 0 if it is unknown.
std::optional<std::chrono::milliseconds> expected_time(const answer_time_table& table,
                                                       const std::string& route, double tokens);

} // namespace almondline::gateway
