#include "common/prefix.h"

#include "common/hash.h"

namespace almondline {

std::vector<std::uint64_t> prefix_block_hashes(std::string_view text, std::size_t max_blocks)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t previous = 0;
    while (text.size() >= prefix_block_size && blocks.size() < max_blocks) {
        previous = stable_hash(text.substr(0, prefix_block_size), previous);
        blocks.push_back(previous);
        text.remove_prefix(prefix_block_size);
    }
    return blocks;
}

} // namespace almondline
