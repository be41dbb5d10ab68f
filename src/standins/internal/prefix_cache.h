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

/// Chained hashes of all whole blocks of a text, without the limit that the scheduler sets itself.
std::vector<std::uint64_t> hash_blocks(std::string_view text);

/// Block as 16 lower-case hexadecimal digits, as in cache events and KV paths.
std::string block_text(std::uint64_t block);
/// Returns false if the text is not the hexadecimal number of a block.
bool parse_block(std::string_view text, std::uint64_t& block);

struct cache_change {
    bool is_stored = false; ///< false: evicted
    std::uint64_t block = 0;
};

/// Blocks in memory of a limited size. The least recently used is evicted first.
struct prefix_cache {
    std::size_t capacity = 0; ///< blocks
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
};

/// Leading blocks that are present. Counts as use of them.
std::size_t match_prefix(prefix_cache& cache, const std::vector<std::uint64_t>& blocks);
/// Stores the blocks and returns what changed, in order.
std::vector<cache_change> store_blocks(prefix_cache& cache,
                                       const std::vector<std::uint64_t>& blocks);

} // namespace almondline::standins
