#pragma once

#include "routing/types/replica.h"
#include "routing/types/request_shape.h"

#include <vector>

/// Which replica is believed to hold which blocks of prompt prefixes.
namespace almondline::routing {

/// The replica computed or holds these blocks. The least recently used ones are forgotten beyond
/// the capacity of its memory.
void note_blocks(replica_table& table, std::uint32_t index,
                 const std::vector<std::uint64_t>& blocks);

void forget_block(replica_table& table, std::uint32_t index, std::uint64_t block);

void forget_all_blocks(replica_table& table, std::uint32_t index);

/// Prompt tokens expected in the cache of each replica, by index.
std::vector<double> expected_hits(const replica_table& table, const request_shape& request);

} // namespace almondline::routing
