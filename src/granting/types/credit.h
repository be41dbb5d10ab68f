#pragma once

#include "common/clock.h"
#include "common/types/verdict.h"
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
    steady_time expires{}; ///< unless confirmed before
    std::string reason;    ///< of the choice, for the log and for operators
};

/// Answer to a request for a credit: the credit, or why there is none.
struct credit_result {
    std::optional<credit> granted;
    refusal why; ///< if not granted; its verdict is not_run
};

using credit_handler = std::function<void(const credit_result&)>;

enum class release_outcome {
    finished,
    not_dispatched, ///< no byte was written
    failed,         ///< the backend server did not answer or broke the connection
    unreachable,    ///< no connection could be made: no byte was written
    cancelled
};

/// What the holder reports when it gives a credit back.
struct release_report {
    release_outcome outcome = release_outcome::finished;
    std::optional<double> actual_cost = std::nullopt; ///< token units; not set: the estimate
    std::chrono::milliseconds first_token{0};         ///< after dispatch, 0: not known
    std::chrono::milliseconds duration{0};            ///< from dispatch to the end, 0: not known
    double prompt_tokens = 0;
    double output_tokens = 0;
    bool is_server_leaving = false; ///< the backend server said so in its answer
};

/// Codes of refusals that granter and asker make, besides those of the queue.
inline constexpr std::string_view code_no_backend = "no-backend"; ///< no usable backend server
inline constexpr std::string_view code_no_granter = "no-granter"; ///< the pool has no owner
/// The account has used up its allowance of tokens.
inline constexpr std::string_view code_allowance = "allowance-used-up";
inline constexpr std::string_view code_deadline_passed = "deadline-passed";

} // namespace almondline::granting
