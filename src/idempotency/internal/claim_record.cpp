#include "idempotency/internal/claim_record.h"

#include "common/hash.h"

#include <map>
#include <sstream>
#include <utility>
#include <vector>

namespace almondline::idempotency {

namespace {

constexpr std::string_view header = "claims 1";
constexpr std::size_t hash_digits = 32;
constexpr std::size_t max_id = 64;
// Size of "c HASH ID HOLDER MINUTES" without the id: 2 + 33 + 1 + up to 6 + 1 + up to 9 + line end.
constexpr std::size_t claim_overhead = 53;
// The nine digits that claim_overhead allows for. Reached in the year 3871.
constexpr std::int64_t max_minutes = 999'999'999;
constexpr std::size_t holder_overhead = 24;

bool is_field(const std::string& text)
{
    return !text.empty() && text.size() <= max_id &&
           text.find_first_of(" \t\r\n") == std::string::npos;
}

bool is_hash(std::string_view text)
{
    return text.size() == hash_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

std::string hash_key(std::string_view account, std::string_view key)
{
    // The account's hash has a fixed length, so no two pairs of account and key give the same text.
    return sha256_hex(sha256_hex(account) + std::string{key}).substr(0, hash_digits);
}

int range_of(std::string_view key_hash)
{
    if (!is_hash(key_hash)) {
        return -1;
    }
    return std::stoi(std::string{key_hash.substr(0, 2)}, nullptr, 16);
}

std::string range_key(int range)
{
    return "idempotency/range/" + std::to_string(range);
}

std::size_t text_size(const claim_record& record)
{
    std::map<std::pair<std::string_view, std::int64_t>, int> holders;
    std::size_t size = header.size() + 1;
    for (const auto& [hash, it] : record.claims) {
        size += claim_overhead + it.claim_id.size();
        if (holders.try_emplace({it.holder, it.holder_incarnation}, 0).second) {
            size += holder_overhead + it.holder.size();
        }
    }
    return size;
}

std::string to_text(const claim_record& record)
{
    std::map<std::pair<std::string_view, std::int64_t>, std::size_t> holders;
    std::string lines;
    std::string text{header};
    text += '\n';
    for (const auto& [hash, it] : record.claims) {
        const auto [holder, is_new] =
            holders.try_emplace({it.holder, it.holder_incarnation}, holders.size());
        if (is_new) {
            text += "h " + it.holder + ' ' + std::to_string(it.holder_incarnation) + '\n';
        }
        lines += "c " + hash + ' ' + it.claim_id + ' ' + std::to_string(holder->second) + ' ' +
                 std::to_string(it.since_epoch.count()) + '\n';
    }
    return text + lines;
}

bool parse_claim_record(std::string_view text, claim_record& record)
{
    std::istringstream in{std::string{text}};
    std::string line;
    if (!std::getline(in, line) || line != header) {
        return false;
    }
    std::vector<std::pair<std::string, std::int64_t>> holders;
    std::string kind;
    while (in >> kind) {
        std::string first;
        std::int64_t number = 0;
        if (kind == "h" && in >> first >> number) {
            holders.emplace_back(first, number);
            continue;
        }
        claim_entry claim;
        std::size_t holder = 0;
        if (kind != "c" || !(in >> first >> claim.claim_id >> holder >> number) ||
            holder >= holders.size() || !is_hash(first) || number < 0 || number > max_minutes) {
            return false;
        }
        claim.holder = holders[holder].first;
        claim.holder_incarnation = holders[holder].second;
        claim.since_epoch = std::chrono::minutes{number};
        record.claims.emplace(first, std::move(claim));
    }
    return true;
}

void drop_claims_before(claim_record& record, std::chrono::minutes since_epoch)
{
    std::erase_if(record.claims,
                  [&](const auto& it) { return it.second.since_epoch < since_epoch; });
}

bool is_recordable(const claim_request& request)
{
    return is_hash(request.key_hash) && is_field(request.claim_id) && is_field(request.holder) &&
           request.holder_incarnation > 0;
}

} // namespace almondline::idempotency
