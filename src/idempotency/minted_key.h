#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondline::idempotency {

/// Idempotency key that identifies the only incarnation that may dispatch requests with it.
struct minted_key {
    std::string instance_id;
    std::int64_t incarnation = 0;
    /// Expiry time, counted from the start of the incarnation on its monotonic clock, so that a
    /// step of the wall clock neither revives an expired key nor expires a valid one.
    std::chrono::milliseconds expires{0};
    std::string random; ///< 32 hexadecimal digits
};

/// Returns "amk1-EXPIRES-INCARNATION-RANDOM-INSTANCE" with the numbers in hexadecimal.
std::string to_text(const minted_key& key);

/// Returns true if the text has the prefix of minted keys. Caller-chosen keys must not have it.
bool is_minted(std::string_view text);

/// Returns nullopt if the text is malformed.
std::optional<minted_key> parse_minted_key(std::string_view text);

} // namespace almondline::idempotency
