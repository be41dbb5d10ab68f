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
    snapshot->accounts_by_key_hash = index_account_keys(*content);
    snapshot->content = std::move(content);
    return snapshot;
}

const account_policy* authenticate(const manifest_snapshot& snapshot, const http_request& request)
{
    return find_account_of_key(snapshot.accounts_by_key_hash, hash_of_bearer_key(request));
}

bool has_bearer_key(const http_request& request, const std::string& key_hash)
{
    const auto hash = hash_of_bearer_key(request);
    return !key_hash.empty() && equal_constant_time(hash, key_hash);
}

} // namespace almondline::entry
