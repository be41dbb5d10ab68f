#pragma once

#include "gateway/internal/server_attempt.h"
#include "gateway/types/flow_limits.h"

#include <cstddef>
#include <string>

/// What an attempt holds of its response.
namespace almondline::gateway {

/// Cause of a failure for the log.
inline constexpr const char* memory_used_up = "the memory for response bodies is used up";

/// Reserves memory for what is held of a response. Returns false if there is not enough.
bool reserve_memory(server_attempt& attempt, std::size_t held_bytes, const flow_limits& limits);

/// Closes the connection and frees the memory of the response.
void drop_response(server_attempt& attempt);

/// Ends an attempt whose connection or response failed.
void break_off(server_attempt& attempt, std::string cause);

} // namespace almondline::gateway
