#pragma once

#include "http/types/message.h"
#include "manifest/account_keys.h"

#include <memory>
#include <string>

namespace almondline::entry {

/// The manifest in force and the indexes derived from it. Immutable, so any thread may use it.
struct manifest_snapshot {
    std::shared_ptr<const manifest> content;
    /// Client accounts by the SHA-256 of their keys. Points into content.
    account_keys accounts_by_key_hash;
};

std::shared_ptr<const manifest_snapshot> make_snapshot(std::shared_ptr<const manifest> content);

/// Returns the client account of the request's bearer key, or nullptr if the key is missing or
/// unknown.
const account_policy* authenticate(const manifest_snapshot& snapshot, const http_request& request);

/// Returns true if the SHA-256 of the request's bearer key is key_hash. An empty hash matches no
/// key.
bool has_bearer_key(const http_request& request, const std::string& key_hash);

} // namespace almondline::entry
