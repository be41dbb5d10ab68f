#pragma once

#include "http/types/message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondline::gateway {

/// Size of a request to a model, as its caller states it.
struct call_size {
    double prompt_tokens = 0;
    double max_output_tokens = 0;
};

/// A request of a caller, decoded.
struct call {
    std::string attempt_id; ///< names this attempt of the caller; servers repeat it in responses
    std::string host;       ///< in lower case, without port
    std::string key;        ///< bearer key, empty if there is none
    std::optional<std::chrono::milliseconds> time_limit; ///< the caller waits this long
    std::string model;
    std::optional<call_size> size;
    std::optional<double> expected_output_tokens; ///< the caller's estimate
    std::vector<std::uint64_t> prefix_blocks;     ///< chained hashes of the prompt's parts
    std::vector<std::int32_t> prefix_tokens;      ///< prompt tokens up to the end of each part
    /// What a backend server gets, without the headers that the system sets or that concern one
    /// connection.
    http_request message;
};

/// What the system adds to a request for one backend server.
struct dispatch_metadata {
    std::string backend_id; ///< any other server refuses the request
    std::string account;    ///< empty: the route needs no key
    std::chrono::milliseconds time_left{0};
    /// Id of the last event that the caller has; the server goes on after it.
    std::optional<std::uint64_t> resume_after;
};

/// What a backend server says of itself beside its answer.
struct server_notice {
    bool is_leaving = false; ///< it ends soon and takes no new requests
    /// It wants no request of this instance for this long. Zero: it said nothing.
    std::chrono::milliseconds backoff_for{0};
};

enum class reply_kind {
    success,
    failure, ///< the server's own answer, and the request ran
    not_run, ///< the server refused the request before it began
    foreign, ///< belongs to another request, or is not the final response
    invalid  ///< not a usable response
};

} // namespace almondline::gateway
