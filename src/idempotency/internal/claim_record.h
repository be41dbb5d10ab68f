#pragma once

#include "idempotency/types/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace almondline::idempotency {

/// Number of key ranges, each with a record of its own in the store.
constexpr int range_count = 256;

/// Hash of a caller-chosen key within the scope of an account: 32 hexadecimal digits.
std::string hash_key(std::string_view account, std::string_view key);
/// Range of a key hash, from its first two digits; -1 if it is malformed.
int range_of(std::string_view key_hash);
std::string range_key(int range);

struct claim_entry {
    std::string claim_id;
    std::string holder;
    std::int64_t holder_incarnation = 0;
    std::chrono::minutes since_epoch{0}; ///< time of the claim
};

/// Claims of one key range, by key hash.
struct claim_record {
    std::unordered_map<std::string, claim_entry> claims;
};

/// Upper bound of the record's text in bytes. The claims' holders are counted once each.
std::size_t text_size(const claim_record& record);
std::string to_text(const claim_record& record);
/// Returns false if the text is not a record of this version.
bool parse_claim_record(std::string_view text, claim_record& record);
void drop_claims_before(claim_record& record, std::chrono::minutes since_epoch);

/// True if the fields can be written to a record.
bool is_recordable(const claim_request& request);

} // namespace almondline::idempotency
