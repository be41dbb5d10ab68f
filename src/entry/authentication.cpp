#include "entry/authentication.h"

#include "common/hash.h"

namespace almondline::entry {

namespace {

constexpr std::string_view scheme = "Bearer ";

std::string hash_of_bearer_key(const http_request& request)
{
    const auto value = find_header(request.headers, "Authorization");
    if (value.substr(0, scheme.size()) != scheme) {
        return {};
    }
    return sha256_hex(value.substr(scheme.size()));
}

} // namespace

std::shared_ptr<const manifest_snapshot> make_snapshot(std::shared_ptr<const manifest> content)
{
    auto snapshot = std::make_shared<manifest_snapshot>();
    for (const auto& account : content->accounts) {
        for (const auto& hash : account.key_hashes) {
            snapshot->accounts_by_key_hash.emplace(hash, &account);
        }
    }
    snapshot->content = std::move(content);
    return snapshot;
}

const account_policy* authenticate(const manifest_snapshot& snapshot, const http_request& request)
{
    const auto hash = hash_of_bearer_key(request);
    const auto it = snapshot.accounts_by_key_hash.find(hash);
    if (it == snapshot.accounts_by_key_hash.end() || !equal_constant_time(it->first, hash)) {
        return nullptr;
    }
    return it->second;
}

bool has_bearer_key(const http_request& request, const std::string& key_hash)
{
    const auto hash = hash_of_bearer_key(request);
    return !key_hash.empty() && equal_constant_time(hash, key_hash);
}

} // namespace almondline::entry
