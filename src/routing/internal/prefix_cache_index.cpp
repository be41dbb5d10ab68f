#include "routing/internal/prefix_cache_index.h"

#include <algorithm>

namespace almondline::routing {

namespace {

// Blocks looked up per choice. Because block hashes are chained, sampling finds the end of the
// common prefix to within one step, and the cost of a choice does not grow with the prompt.
constexpr std::size_t lookups_per_choice = 24;
// Weight of blocks known from before a gap in the events, which may have been evicted since.
constexpr double trust_after_gap = 0.5;
// Uses kept per known block. Bounds the list when the same blocks are used repeatedly.
constexpr std::size_t uses_per_block = 4;

block_holder* find_holder(std::vector<block_holder>& holders, std::uint32_t index)
{
    const auto it = std::find_if(holders.begin(), holders.end(),
                                 [&](const block_holder& each) { return each.replica == index; });
    return it == holders.end() ? nullptr : &*it;
}

std::size_t block_capacity(const replica_table& table, const replica& server)
{
    std::size_t limit = table.config.max_known_blocks;
    if (table.config.block_tokens > 0 && server.kv_capacity > 0) {
        limit = std::min(limit,
                         static_cast<std::size_t>(server.kv_capacity / table.config.block_tokens));
    }
    return std::max<std::size_t>(1, limit);
}

void drop_least_recently_used(replica_table& table, std::uint32_t index)
{
    replica& server = table.replicas[index];
    const std::size_t limit = block_capacity(table, server);
    while (!server.block_uses.empty() &&
           (server.known_blocks > limit || server.block_uses.size() > uses_per_block * limit)) {
        const block_use oldest = server.block_uses.front();
        server.block_uses.pop_front();
        const auto found = table.block_holders.find(oldest.block);
        if (found == table.block_holders.end()) {
            continue;
        }
        const block_holder* holder = find_holder(found->second, index);
        if (holder != nullptr && holder->use == oldest.use) {
            remove_block(table, index, oldest.block);
        }
    }
}

/// Returns the prompt tokens up to the end of a block.
double tokens_through(const replica_table& table, const request_shape& request, std::size_t block)
{
    if (block < request.prefix_tokens.size()) {
        return std::max(0, request.prefix_tokens[block]);
    }
    const double blocks = static_cast<double>(block + 1);
    if (table.config.block_tokens > 0) {
        return blocks * table.config.block_tokens;
    }
    return blocks * request.prompt_tokens / static_cast<double>(request.prefix_blocks.size());
}

} // namespace

void note_blocks(replica_table& table, std::uint32_t index,
                 const std::vector<std::uint64_t>& blocks)
{
    replica& server = table.replicas[index];
    const std::size_t n = std::min(blocks.size(), table.config.max_blocks_per_prompt);
    for (std::size_t i = 0; i < n; ++i) {
        std::vector<block_holder>& holders = table.block_holders[blocks[i]];
        block_holder* holder = find_holder(holders, index);
        if (holder == nullptr) {
            holder = &holders.emplace_back(block_holder{index, 0, 0});
            server.known_blocks += 1;
        }
        holder->generation = server.cache_generation;
        holder->use = table.next_use++;
        server.block_uses.push_back({blocks[i], holder->use});
    }
    drop_least_recently_used(table, index);
}

void remove_block(replica_table& table, std::uint32_t index, std::uint64_t block)
{
    const auto found = table.block_holders.find(block);
    if (found == table.block_holders.end()) {
        return;
    }
    std::vector<block_holder>& holders = found->second;
    block_holder* holder = find_holder(holders, index);
    if (holder == nullptr) {
        return;
    }
    *holder = holders.back();
    holders.pop_back();
    table.replicas[index].known_blocks -= 1;
    if (holders.empty()) {
        table.block_holders.erase(found);
    }
}

void remove_all_blocks(replica_table& table, std::uint32_t index)
{
    replica& server = table.replicas[index];
    for (const block_use& use : server.block_uses) {
        remove_block(table, index, use.block);
    }
    server.block_uses.clear();
}

std::vector<double> expected_hits(const replica_table& table, const request_shape& request)
{
    std::vector<double> hits(table.replicas.size(), 0);
    const std::size_t n =
        std::min(request.prefix_blocks.size(), table.config.max_blocks_per_prompt);
    if (n == 0) {
        return hits;
    }
    const std::size_t step = (n + lookups_per_choice - 1) / lookups_per_choice;
    std::vector<std::size_t> reached(hits.size(), 0); // consecutive lookups that found the replica
    std::size_t lookup = 0;
    for (std::size_t i = step - 1;; i = std::min(i + step, n - 1)) {
        const auto found = table.block_holders.find(request.prefix_blocks[i]);
        if (found == table.block_holders.end()) {
            break;
        }
        const double tokens = std::min(request.prompt_tokens, tokens_through(table, request, i));
        for (const block_holder& holder : found->second) {
            if (reached[holder.replica] != lookup) {
                continue;
            }
            reached[holder.replica] += 1;
            const bool is_current =
                holder.generation == table.replicas[holder.replica].cache_generation;
            const double trust = is_current ? 1 : trust_after_gap;
            hits[holder.replica] = tokens * trust;
        }
        lookup += 1;
        if (i == n - 1) {
            break;
        }
    }
    return hits;
}

} // namespace almondline::routing
