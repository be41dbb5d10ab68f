#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace almondline {

/// SHA-256 of the text as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// First 64 bits of the SHA-256 of a list of texts, each with its length. Nobody can construct
/// another list with the same value in a reasonable time.
std::uint64_t sha256_prefix(std::initializer_list<std::string_view> texts);

/// Compares two texts in a time that depends only on their lengths. For keys and hashes of keys.
bool equal_constant_time(std::string_view a, std::string_view b);

/// 64-bit hash that is stable across processes and versions. Not for hash tables with untrusted
/// keys.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Lower-case hexadecimal digits without leading zeros.
std::string to_hex(std::uint64_t value);

/// Returns the candidates in rendezvous hashing order (highest random weight) for a key, best
/// first. Removing a candidate moves only the keys that it owned.
std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::vector<std::string> candidates);

/// Random 128-bit identifier from a cryptographically secure generator, as 32 hexadecimal digits.
std::string random_id();

} // namespace almondline
