#pragma once

#include "idempotency/types/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace almondline::idempotency {

/// Number of key ranges. Each has its own record in the store.
constexpr int range_count = 256;

/// Returns the hash of a caller-chosen key, scoped to an account: 32 hexadecimal digits.
std::string hash_key(std::string_view account, std::string_view key);
/// Returns the range of a key hash, given by its first two digits; -1 if the hash is malformed.
int range_of(std::string_view key_hash);
/// Returns the store key of a range's record.
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

/// Returns an upper bound of the record's text size in bytes. Each holder is counted once.
std::size_t text_size(const claim_record& record);
std::string to_text(const claim_record& record);
/// Returns false if the text is not a valid record of this format version.
bool parse_claim_record(std::string_view text, claim_record& record);
void drop_claims_before(claim_record& record, std::chrono::minutes since_epoch);

/// Returns true if the claim's fields can be written to a record.
bool is_recordable(const claim_request& request);

} // namespace almondline::idempotency
