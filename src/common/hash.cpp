#include "common/hash.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdexcept>
#include <utility>

namespace almondline {

namespace {

std::string to_hex(const unsigned char* data, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text += digits[data[i] >> 4U];
        text += digits[data[i] & 0x0fU];
    }
    return text;
}

// SplitMix64 finalizer, applied because FNV-1a mixes the high bits poorly for short texts.
std::uint64_t mix(std::uint64_t x)
{
    x ^= x >> 30U;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27U;
    x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

} // namespace

std::uint64_t sha256_prefix(std::initializer_list<std::string_view> texts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context{EVP_MD_CTX_new(),
                                                                          EVP_MD_CTX_free};
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    bool is_ok = context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    for (const auto text : texts) {
        const std::uint64_t size = text.size();
        is_ok = is_ok && EVP_DigestUpdate(context.get(), &size, sizeof size) == 1 &&
                EVP_DigestUpdate(context.get(), text.data(), text.size()) == 1;
    }
    if (!is_ok || EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available in OpenSSL");
    }
    std::uint64_t out = 0;
    std::memcpy(&out, digest.data(), sizeof out);
    return out;
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &n, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available in OpenSSL");
    }
    return to_hex(digest.data(), n);
}

bool equal_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t h = 0xcbf29ce484222325ULL ^ mix(seed);
    for (const char c : text) {
        h ^= static_cast<unsigned char>(c);
        h *= 0x100000001b3ULL;
    }
    return mix(h);
}

std::string to_hex(std::uint64_t value)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%llx", static_cast<unsigned long long>(value));
    return buf;
}

std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> candidates)
{
    const std::uint64_t seed = stable_hash(key);
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(candidates.size());
    for (auto& it : candidates) {
        weighted.emplace_back(stable_hash(it, seed), std::move(it));
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>{});
    std::vector<std::string> ordered;
    ordered.reserve(weighted.size());
    for (auto& it : weighted) {
        ordered.push_back(std::move(it.second));
    }
    return ordered;
}

std::string random_id()
{
    std::array<unsigned char, 16> buf{};
    if (RAND_bytes(buf.data(), static_cast<int>(buf.size())) != 1) {
        throw std::runtime_error("OpenSSL's random generator failed");
    }
    return to_hex(buf.data(), buf.size());
}

} // namespace almondline
