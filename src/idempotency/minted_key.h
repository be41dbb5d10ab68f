#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondline::idempotency {

/// Idempotency key that names the only incarnation that may dispatch requests with it.
struct minted_key {
    std::string instance_id;
    std::int64_t incarnation = 0;
    /// End of its use, since the start of the incarnation on its monotonic clock: a step of the
    /// wall clock neither revives an expired key nor expires a valid one.
    std::chrono::milliseconds expires{0};
    std::string random; ///< 32 hexadecimal digits
};

/// "amk1-EXPIRES-INCARNATION-RANDOM-INSTANCE", the numbers in hexadecimal.
std::string to_text(const minted_key& key);

/// True if the text has the prefix of minted keys, which caller-chosen keys must not have.
bool is_minted(std::string_view text);

/// Returns nothing for a malformed text.
std::optional<minted_key> parse_minted_key(std::string_view text);

} // namespace almondline::idempotency
