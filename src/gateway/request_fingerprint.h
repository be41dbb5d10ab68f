#pragma once

#include "gateway/types/call.h"
#include "granting/types/quarantine_types.h"

#include <cstdint>
#include <string>

namespace almondline::gateway {

/// Returns the fingerprint of a whole request: of its method, host, target, account and body. The
/// body is read once and not kept. Requests with the same fingerprint are the same for a backend
/// server, but for their attempt ids.
std::uint64_t request_fingerprint(const call& request, const std::string& account);

/// Returns the fingerprints of the shared parts of the prompt, in order, and of the whole request.
granting::fingerprints fingerprints_of(const call& request, const std::string& account);

} // namespace almondline::gateway
