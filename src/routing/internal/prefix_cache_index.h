#pragma once

#include "routing/types/replica.h"
#include "routing/types/request_shape.h"

#include <vector>

/// Index of the prompt prefix blocks that each replica is believed to hold in its cache.
namespace almondline::routing {

/// Records that the replica computes or holds these blocks. Drops its least recently used blocks
/// beyond its cache capacity.
void note_blocks(replica_table& table, std::uint32_t index,
                 const std::vector<std::uint64_t>& blocks);

void remove_block(replica_table& table, std::uint32_t index, std::uint64_t block);

void remove_all_blocks(replica_table& table, std::uint32_t index);

/// Returns the prompt tokens expected in the cache of each replica, by index.
std::vector<double> expected_hits(const replica_table& table, const request_shape& request);

} // namespace almondline::routing
