#pragma once

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondline::backend {

/// An engine's own report of its load. It lags by its age.
struct load_report {
    std::chrono::milliseconds age{0};
    int running = 0;
    int waiting = 0;
    double kv_used_tokens = 0;
    double kv_capacity_tokens = 0;
    bool is_leaving = false;
    std::vector<std::string> models;
};

enum class cache_event_kind { stored, evicted };

struct cache_event {
    std::uint64_t sequence = 0;
    cache_event_kind kind = cache_event_kind::stored;
    std::uint64_t block = 0;
};

struct cache_event_batch {
    std::uint64_t first_sequence = 0; ///< above the one asked for means that events were lost
    std::uint64_t next_sequence = 0;
    std::vector<cache_event> events;
};

/// Parse the bodies of GET /v1/load and GET /v1/cache/events. Errors carry a parse_error.
boost::leaf::result<load_report> parse_load_report(std::string_view text);
boost::leaf::result<cache_event_batch> parse_cache_events(std::string_view text);

} // namespace almondline::backend
