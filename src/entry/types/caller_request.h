#pragma once

#include "http/types/message.h"
#include "manifest/types/manifest.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondline::entry {

/// A caller's request after authentication and validation.
struct caller_request {
    std::string request_id;
    std::string account;
    std::string service;
    std::string model; ///< empty for plain services
    std::string kind;
    std::string tier_name;
    int tier = 0; ///< index in the manifest's tiers
    service_type type = service_type::model;
    bool is_stream = false;
    bool is_idempotent = true;
    std::string idempotency_key; ///< empty if the caller sent none
    std::string body_digest;     ///< SHA-256 of target and body, set if there is an idempotency key
    std::chrono::milliseconds time_limit{0};
    double prompt_tokens = 0;
    double max_output_tokens = 0; ///< caller's limit, 0 if the caller set none
    double output_tokens = 0;     ///< estimate
    std::vector<std::uint64_t> prefix_blocks;
    http_request forward; ///< request to the backend server, without the X-Request-Id header
};

/// Error response to a caller, with its HTTP status.
struct api_error {
    int status = 500;
    std::string code;
    std::string message;
};

} // namespace almondline::entry
