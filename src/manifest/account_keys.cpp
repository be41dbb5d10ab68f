#include "manifest/account_keys.h"

#include "common/hash.h"

namespace almondline {

account_keys index_account_keys(const manifest& m)
{
    account_keys keys;
    for (const auto& account : m.accounts) {
        for (const auto& hash : account.key_hashes) {
            keys.emplace(hash, &account);
        }
    }
    return keys;
}

const account_policy* find_account_of_key(const account_keys& keys, const std::string& key_hash)
{
    const auto it = keys.find(key_hash);
    if (it == keys.end() || !equal_constant_time(it->first, key_hash)) {
        return nullptr;
    }
    return it->second;
}

} // namespace almondline
