#pragma once

#include "gateway/internal/request_attempts.h"

#include <chrono>
#include <string>

/// Whether the servers that have a request are silent. The current time is passed in.
namespace almondline::gateway {

bool is_any_running(const request_attempts& attempts);

/// Returns whether no other attempt than this one is running.
bool is_only_running(const request_attempts& attempts, const server_attempt& attempt);

bool is_silent(const server_attempt& attempt, steady_time now);

/// Returns whether attempts are running and the servers of all of them are silent.
bool are_servers_silent(const request_attempts& attempts, steady_time now);

/// Returns the time until a server can be silent for too long; zero if all are.
std::chrono::milliseconds time_until_silent(const request_attempts& attempts, steady_time now);

/// Returns the text for the log.
std::string describe_silence(const server_attempt& attempt, steady_time now);

} // namespace almondline::gateway
