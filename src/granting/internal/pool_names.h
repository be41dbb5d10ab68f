#pragma once

namespace almondline::granting {

/// Key of the common allowance table, and the name hashed to choose a common owner of all pools.
inline constexpr auto common_pool = "all";

} // namespace almondline::granting
