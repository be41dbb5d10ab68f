#pragma once

#include "http/types/message.h"
#include "manifest/account_keys.h"

#include <memory>
#include <string>

namespace almondline::entry {

/// A manifest in force with what is derived from it once, for use on any thread.
struct manifest_snapshot {
    std::shared_ptr<const manifest> content;
    /// Client accounts by the SHA-256 of their keys. Points into content.
    account_keys accounts_by_key_hash;
};

std::shared_ptr<const manifest_snapshot> make_snapshot(std::shared_ptr<const manifest> content);

/// Client account of the bearer key in the request, nullptr if there is none or it is unknown.
const account_policy* authenticate(const manifest_snapshot& snapshot, const http_request& request);

/// True if the bearer key in the request has this SHA-256. An empty hash matches nothing.
bool has_bearer_key(const http_request& request, const std::string& key_hash);

} // namespace almondline::entry
