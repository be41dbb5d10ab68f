#pragma once

#include "common/types/parse_error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondline {

/// Urgency class. Its index in manifest::tiers is its rank, 0 the most urgent.
struct tier_policy {
    std::string name;
    double floor = 0; ///< share of the dispatch slots reserved for it, 0 to 1
    /// Tiers of one group are adjacent. While a group has waiting requests, the next group gets
    /// queue_config::yield_share of the dispatch slots.
    int group = 0;
};

/// Kind of work, for example "draft" or "layout-check".
struct kind_policy {
    std::string name;
    double weight = 1;
    double floor = 0; ///< share of the dispatch slots reserved for it, 0 to 1
};

struct account_policy {
    std::string name;
    double weight = 1;
    int max_in_progress = 0;             ///< 0: no limit
    std::vector<std::string> tiers;      ///< tiers that it may request, empty: all
    std::vector<std::string> key_hashes; ///< SHA-256 of its bearer keys, hexadecimal
    /// Urgency of its requests, 0 the most urgent. Takes precedence over the urgency of a route.
    int urgency = 0;
    /// Tokens per second that it may use in total over all instances. 0: no limit.
    double allowance_rate = 0;
    double allowance_burst = 0;    ///< unused tokens that it can accumulate
    double allowance_per_call = 1; ///< tokens charged for a request without a stated size
    /// If false, each request is charged allowance_per_call tokens regardless of its size.
    bool is_allowance_by_size = true;
};

/// Engines of one hardware generation, with the speed assumed until there are estimates.
struct engine_class_policy {
    std::string name;
    double prefill_tokens_per_second = 0;
    double decode_tokens_per_second = 0; ///< of one stream
    double kv_tokens = 0;                ///< KV cache capacity
    int max_in_flight = 1;
};

enum class service_type { model, plain };

struct call_policy {
    std::string method;
    std::string path; ///< prefix
    bool is_idempotent = false;
};

struct service_policy {
    std::string name;
    service_type type = service_type::model;
    std::vector<std::string> models;
    std::string default_tier;
    std::string default_kind;
    std::chrono::milliseconds deadline{60'000};
    int max_waiting = 1000;
    int retry_budget_percent = 10; ///< retries per hundred first attempts
    int slice_replicas = 64;
    int plain_max_in_flight = 8; ///< per backend server of a plain service
    double tokens_per_event = 1; ///< in a stream of a model service
    std::vector<call_policy> calls;
};

struct placement_policy {
    std::string model;
    double size_mb = 0;
    int min_replicas = 1;
    int max_replicas = 1;
};

enum class route_kind {
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs at most once
    stream          ///< server-sent events; runs at most once unless it is resumable
};

/// One of the services that share a route.
struct weighted_service {
    std::string service;
    double weight = 1; ///< share of the requests, relative to the sum of all weights
};

/// Rules for the requests to one host whose path starts with a prefix.
struct route_policy {
    std::string name;
    std::string host;   ///< without port, in lower case
    std::string prefix; ///< starts and ends with a slash; the longest matching one wins
    route_kind kind = route_kind::non_idempotent;
    bool is_resumable = false; ///< a stream may continue on another server after its last event
    bool is_public = false;    ///< needs no key
    std::chrono::milliseconds timeout{60'000};       ///< longest time until the final response
    std::chrono::milliseconds target_latency{1'000}; ///< objective for the response or first event
    std::chrono::milliseconds target_gap{1'000};     ///< objective for the gap between two events
    int urgency = 0;                                 ///< 0 the most urgent
    int max_attempts = 1;                            ///< backend servers tried per request
    std::vector<weighted_service> services;
};

/// Limits on what callers may send.
struct caller_limits {
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 8 * 1024 * 1024;
    std::chrono::milliseconds header_timeout{30'000}; ///< for the header of one request
    std::chrono::milliseconds idle_timeout{60'000};   ///< between two requests of a connection
};

/// Configuration that the operators publish. Immutable once parsed; shared between threads as a
/// pointer to const.
struct manifest {
    std::string name;
    std::int64_t version = 0; ///< assigned at publication, 0 before
    std::string digest;       ///< SHA-256 of the text
    std::vector<tier_policy> tiers;
    std::vector<kind_policy> kinds;
    std::vector<account_policy> accounts;
    std::vector<engine_class_policy> engine_classes;
    std::vector<service_policy> services;
    std::vector<placement_policy> placements;
    std::vector<route_policy> routes;
    caller_limits limits;
    bool needs_keys = true; ///< false: callers have no accounts
};

/// Parses and checks a manifest in the format that the fleet's operators use. Fills in error and
/// returns nullopt if the text is not valid.
using manifest_parser = std::optional<manifest> (*)(std::string_view text, const std::string& file,
                                                    parse_error& error);

/// Each returns nullptr, or -1 for a tier, if the manifest does not contain the name.
const account_policy* find_account(const manifest& m, const std::string& name);
const service_policy* find_service(const manifest& m, const std::string& name);
const service_policy* find_service_of_model(const manifest& m, const std::string& model);
const engine_class_policy* find_engine_class(const manifest& m, const std::string& name);
int find_tier(const manifest& m, const std::string& name);

} // namespace almondline
