#pragma once

#include "idempotency/types/outcome.h"

#include <cstdint>
#include <string>
#include <variant>

namespace almondline::idempotency {

/// Asks the owner of a key range to record a claim. Sending it again with the same id is harmless.
struct claim_request {
    std::string claim_id;
    std::string account;
    std::string key_hash; ///< from hash_key
    std::string holder;   ///< instance that will dispatch
    std::int64_t holder_incarnation = 0;
    std::string request_id;
};

enum class claim_status {
    claimed,   ///< the holder may dispatch
    duplicate, ///< claimed before, by the holder that the answer names
    refused,   ///< not recorded
    unknown    ///< may have been recorded, the answer of the store was lost
};

struct claim_answer {
    std::string claim_id;
    claim_status status = claim_status::refused;
    std::string holder;
    std::int64_t holder_incarnation = 0;
    std::string message;
    std::string recorded_claim_id; ///< duplicate: id of the earlier claim
};

/// Asks the holder of a claimed key what became of its request.
struct outcome_query {
    std::string query_id;
    std::string account;
    std::string key_hash;
    std::string body_hash; ///< of the body that came with the key this time
    std::string claim_id;  ///< that is recorded in the store
};

struct outcome_reply {
    std::string query_id;
    bool is_known = false;
    bool is_finished = false;
    bool is_other_body = false; ///< known, but the key was used with another request
    outcome result;             ///< if it is finished
};

using message = std::variant<claim_request, claim_answer, outcome_query, outcome_reply>;

} // namespace almondline::idempotency
