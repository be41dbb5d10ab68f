#include "standins/internal/prefix_cache.h"

#include "common/prefix.h"

#include <array>
#include <charconv>

namespace almondline::standins {

std::vector<std::uint64_t> hash_blocks(std::string_view text)
{
    return prefix_block_hashes(text, text.size());
}

std::string block_text(std::uint64_t block)
{
    std::array<char, 16> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), block, 16);
    const std::string digits{buf.data(), end};
    return std::string(buf.size() - digits.size(), '0') + digits;
}

bool parse_block(std::string_view text, std::uint64_t& block)
{
    const auto* const last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, block, 16);
    return ec == std::errc{} && end == last && text.size() == 16;
}

std::size_t match_prefix(prefix_cache& cache, const std::vector<std::uint64_t>& blocks)
{
    std::size_t n = 0;
    for (const auto block : blocks) {
        const auto it = cache.positions.find(block);
        if (it == cache.positions.end()) {
            break;
        }
        cache.recency.splice(cache.recency.begin(), cache.recency, it->second);
        ++n;
    }
    return n;
}

std::vector<cache_change> store_blocks(prefix_cache& cache,
                                       const std::vector<std::uint64_t>& blocks)
{
    std::vector<cache_change> changes;
    for (const auto block : blocks) {
        const auto it = cache.positions.find(block);
        if (it != cache.positions.end()) {
            cache.recency.splice(cache.recency.begin(), cache.recency, it->second);
            continue;
        }
        if (cache.capacity == 0) {
            continue;
        }
        if (cache.recency.size() >= cache.capacity) {
            changes.push_back({false, cache.recency.back()});
            cache.positions.erase(cache.recency.back());
            cache.recency.pop_back();
        }
        cache.recency.push_front(block);
        cache.positions[block] = cache.recency.begin();
        changes.push_back({true, block});
    }
    return changes;
}

} // namespace almondline::standins
