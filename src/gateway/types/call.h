#pragma once

#include "http/types/message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondline::gateway {

/// Size of a request to a model, as stated by its caller.
struct call_size {
    double prompt_tokens = 0;
    double max_output_tokens = 0;
};

/// Decoded request of a caller.
struct call {
    std::string attempt_id; ///< id of the caller's attempt; servers echo it in responses
    std::string host;       ///< lower case, without port
    std::string key;        ///< bearer key, empty if there is none
    std::optional<std::chrono::milliseconds> time_limit; ///< how long the caller waits
    std::string model;
    std::optional<call_size> size;
    std::optional<double> expected_output_tokens; ///< estimate of the caller
    std::vector<std::uint64_t> prefix_blocks;     ///< chained hashes of the prompt blocks
    std::vector<std::int32_t> prefix_tokens;      ///< prompt tokens up to the end of each block
    /// Ids of the parts of the prompt that other requests may share, in order. The same part has
    /// the same id whatever comes before it.
    std::vector<std::uint64_t> prompt_parts;
    /// Request to forward, without hop-by-hop headers and headers that only the system sets.
    http_request message;
};

/// Data added to a request that is dispatched to a backend server.
struct dispatch_metadata {
    std::string backend_id; ///< any other server rejects the request
    std::string account;    ///< empty if the route needs no key
    std::chrono::milliseconds time_left{0};
    /// Id of the last event that the caller received; the server continues after it.
    std::optional<std::uint64_t> resume_after;
};

/// State that a backend server reports about itself in the headers of a response.
struct server_notice {
    bool is_leaving = false; ///< it stops soon and accepts no new requests
    /// Time for which this instance should send it no requests; zero if it reported none.
    std::chrono::milliseconds backoff_for{0};
    /// Requests per second that it accepts from all instances together; empty if it reported none.
    std::optional<double> max_request_rate;
};

enum class reply_kind {
    success,
    failure,    ///< the server answered with an error, and the request ran
    not_run,    ///< the server refused the request before running it
    mismatched, ///< belongs to another request, or is an interim response
    invalid     ///< not a usable response
};

} // namespace almondline::gateway
