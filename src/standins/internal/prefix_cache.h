#pragma once

#include "common/prefix.h"

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondline::standins {

constexpr std::size_t chars_per_token = 4;
constexpr std::size_t block_tokens = prefix_block_size / chars_per_token;

/// Returns the chained hashes of all whole blocks of a text, without the scheduler's limit.
std::vector<std::uint64_t> hash_blocks(std::string_view text);

/// Returns a block as 16 lower-case hexadecimal digits, as in cache events and KV paths.
std::string block_text(std::uint64_t block);
/// Returns false if the text is not 16 hexadecimal digits.
bool parse_block(std::string_view text, std::uint64_t& block);

struct cache_change {
    bool is_stored = false; ///< false: evicted
    std::uint64_t block = 0;
};

/// Cache of prefix blocks that evicts the least recently used one first.
struct prefix_cache {
    std::size_t capacity = 0;         ///< blocks
    std::list<std::uint64_t> recency; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions; ///< in recency
};

/// Returns the number of leading blocks in the cache, and marks them as recently used.
std::size_t match_prefix(prefix_cache& cache, const std::vector<std::uint64_t>& blocks);
/// Stores the blocks and returns the changes of the cache, in order.
std::vector<cache_change> store_blocks(prefix_cache& cache,
                                       const std::vector<std::uint64_t>& blocks);

} // namespace almondline::standins
