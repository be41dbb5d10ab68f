#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondline {

/// Urgency class. Its index in manifest::tiers is its rank, 0 the most urgent.
struct tier_policy {
    std::string name;
    double floor = 0; ///< share of the dispatch slots kept for it, 0 to 1
};

/// Kind of work, for example "draft" or "layout-check".
struct kind_policy {
    std::string name;
    double weight = 1;
    double floor = 0; ///< share of the dispatch slots kept for it, 0 to 1
};

struct account_policy {
    std::string name;
    double weight = 1;
    int max_in_progress = 0;             ///< 0: no limit
    std::vector<std::string> tiers;      ///< tiers that it may name, empty: all
    std::vector<std::string> key_hashes; ///< SHA-256 of its bearer keys, hexadecimal
};

/// Engines of one generation of hardware, with the speed expected before any is learned.
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
    int retry_budget_percent = 10; ///< second attempts per hundred first ones
    int slice_replicas = 64;
    int plain_max_in_flight = 8; ///< per backend server of a plain service
    std::vector<call_policy> calls;
};

struct placement_policy {
    std::string model;
    double size_mb = 0;
    int min_replicas = 1;
    int max_replicas = 1;
};

/// Operators' intent. Immutable once parsed; shared between threads as a pointer to const.
struct manifest {
    std::string name;
    std::int64_t version = 0; ///< given by the store at publication, 0 before
    std::string digest;       ///< SHA-256 of the text
    std::vector<tier_policy> tiers;
    std::vector<kind_policy> kinds;
    std::vector<account_policy> accounts;
    std::vector<engine_class_policy> engine_classes;
    std::vector<service_policy> services;
    std::vector<placement_policy> placements;
};

/// Each returns nullptr, or -1 for a tier, if the manifest does not contain the name.
const account_policy* find_account(const manifest& m, const std::string& name);
const service_policy* find_service(const manifest& m, const std::string& name);
const service_policy* find_service_of_model(const manifest& m, const std::string& model);
const engine_class_policy* find_engine_class(const manifest& m, const std::string& name);
int find_tier(const manifest& m, const std::string& name);

} // namespace almondline
