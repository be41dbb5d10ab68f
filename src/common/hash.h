#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondline {

/// SHA-256 of the text as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// Compares in a time that depends only on the lengths. For keys and hashes of keys.
bool equal_constant_time(std::string_view a, std::string_view b);

/// 64-bit hash that is stable across processes and versions. Not for untrusted input to hash
/// tables.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Order of the candidates for a key by rendezvous hashing (highest random weight), best first.
/// Removing a candidate moves only the keys that it owned.
std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::vector<std::string> candidates);

/// Random identifier of 128 bits from the system's generator, as 32 hexadecimal digits.
std::string random_id();

} // namespace almondline
