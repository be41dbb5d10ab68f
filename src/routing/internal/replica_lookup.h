#pragma once

#include "routing/types/replica.h"

#include <cstdint>
#include <string>

namespace almondline::routing {

/// Returns null if the id is unknown.
inline replica* find(replica_table& table, const std::string& id)
{
    const auto it = table.index.find(id);
    return it == table.index.end() ? nullptr : &table.replicas[it->second];
}

/// Returns the position of a replica in replica_table::replicas.
inline std::uint32_t index_of(const replica_table& table, const replica& server)
{
    return static_cast<std::uint32_t>(&server - table.replicas.data());
}

} // namespace almondline::routing
