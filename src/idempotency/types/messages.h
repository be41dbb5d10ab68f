#pragma once

#include "idempotency/types/outcome.h"

#include <cstdint>
#include <string>
#include <variant>

namespace almondline::idempotency {

/// Requests that the owner of a key range records a claim. Resending it with the same id is
/// harmless.
struct claim_request {
    std::string claim_id;
    std::string account;
    std::string key_hash; ///< from hash_key
    std::string holder;   ///< instance that will dispatch the request
    std::int64_t holder_incarnation = 0;
    std::string request_id;
};

enum class claim_status {
    claimed,   ///< the holder may dispatch
    duplicate, ///< already claimed by the holder in the answer
    refused,   ///< not recorded
    unknown    ///< may have been recorded: the answer of the store or of the owner was lost
};

struct claim_answer {
    std::string claim_id;
    claim_status status = claim_status::refused;
    std::string holder;
    std::int64_t holder_incarnation = 0;
    std::string message;
    std::string recorded_claim_id; ///< set for duplicate: id of the earlier claim
};

/// Asks the holder of a claimed key for the outcome of the request.
struct outcome_query {
    std::string query_id;
    std::string account;
    std::string key_hash;
    std::string body_hash; ///< of the request that now uses the key
    std::string claim_id;  ///< recorded in the store for the key
};

struct outcome_reply {
    std::string query_id;
    bool is_known = false;
    bool is_finished = false;
    bool is_other_body = false; ///< known, but the key was used with a different request
    outcome result;             ///< set if is_finished
};

using message = std::variant<claim_request, claim_answer, outcome_query, outcome_reply>;

} // namespace almondline::idempotency
