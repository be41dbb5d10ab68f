#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace almondline {

/// Characters of one prefix block, about 16 tokens.
constexpr std::size_t prefix_block_size = 64;

/// Hashes of the text's whole blocks. Each hash covers all blocks before it, so that equal hashes
/// mean equal prefixes. A partial last block is left out. At most max_blocks are returned.
std::vector<std::uint64_t> prefix_block_hashes(std::string_view text,
                                               std::size_t max_blocks = 1024);

} // namespace almondline
