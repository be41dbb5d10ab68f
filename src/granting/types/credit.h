#pragma once

#include "common/clock.h"
#include "common/types/verdict.h"
#include "granting/types/quarantine_types.h"
#include "scheduling/types/credit_request.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almondline::granting {

/// Permission to dispatch one request once to one backend server.
struct credit {
    std::string request_id;
    std::string pool;
    std::string credit_id;
    std::string backend_id;
    std::string backend_address;
    steady_time expires{};        ///< unless confirmed before
    std::string reason;           ///< why this backend server was chosen, for the log and operators
    bool is_rate_limited = false; ///< the backend server advertised a request rate
    /// Something that the request contains is suspected to crash backend servers: the holder has to
    /// report when its response has begun.
    bool is_start_awaited = false;
};

/// Answer to a credit request: a credit or a refusal.
struct credit_result {
    std::optional<credit> granted;
    refusal reason; ///< set if no credit was granted; its verdict is not_run
};

using credit_handler = std::function<void(const credit_result&)>;

enum class release_outcome {
    finished,
    not_dispatched, ///< no byte was written
    failed,         ///< the backend server did not answer or closed the connection
    unreachable,    ///< no connection could be established, so no byte was written
    cancelled
};

/// Report that the holder sends when it returns a credit.
struct release_report {
    release_outcome outcome = release_outcome::finished;
    std::optional<double> actual_cost =
        std::nullopt;                         ///< token units; if not set, the estimate is used
    std::chrono::milliseconds first_token{0}; ///< time from dispatch; 0 if not known
    std::chrono::milliseconds duration{0};    ///< from dispatch to completion; 0 if not known
    double prompt_tokens = 0;
    double output_tokens = 0;
    /// The backend server crashed when it started to answer: the fingerprints of the request.
    fingerprints crash_suspects{};
    bool is_server_leaving = false; ///< announced by the backend server in its response
};

/// State that a backend server reports about itself in the header of a response.
struct server_report {
    bool is_leaving = false;
    /// Requests per second that it accepts from all instances together; empty if it reports none.
    std::optional<double> max_request_rate = std::nullopt;
};

/// Refusal codes used by the granter and the credit client, in addition to those of the queue.
inline constexpr std::string_view code_no_backend = "no-backend"; ///< no usable backend server
inline constexpr std::string_view code_no_granter = "no-granter"; ///< the pool has no owner
/// The account has used up its allowance of tokens.
inline constexpr std::string_view code_allowance = "allowance-used-up";
/// Requests with the same prompt part crashed several backend servers.
inline constexpr std::string_view code_quarantined = "prompt-quarantined";
/// The request itself crashed several backend servers.
inline constexpr std::string_view code_request_quarantined = "request-quarantined";
inline constexpr std::string_view code_deadline_passed = "deadline-passed";

} // namespace almondline::granting
