#pragma once

#include "manifest/types/manifest.h"

#include <string>
#include <unordered_map>

namespace almondline {

/// Client accounts by the SHA-256 of their bearer keys. Points into the manifest.
using account_keys = std::unordered_map<std::string, const account_policy*>;

account_keys index_account_keys(const manifest& m);

/// Returns the account whose key has this SHA-256, nullptr if there is none. The hash is compared
/// in constant time.
const account_policy* find_account_of_key(const account_keys& keys, const std::string& key_hash);

} // namespace almondline
