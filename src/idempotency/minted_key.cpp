#include "idempotency/minted_key.h"

#include <array>
#include <charconv>

namespace almondline::idempotency {

namespace {

constexpr std::string_view prefix = "amk1-";
constexpr std::size_t random_digits = 32;
constexpr std::size_t max_text_size = 256;

std::string hex(std::int64_t value)
{
    std::array<char, 16> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value, 16).ptr;
    return {buf.data(), end};
}

// Removes the field up to the next dash from the text and returns it.
std::string_view take_field(std::string_view& text)
{
    const auto end = text.find('-');
    const auto field = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return field;
}

bool parse_hex(std::string_view text, std::int64_t& value)
{
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, 16);
    return result.ec == std::errc{} && result.ptr == end && value > 0;
}

} // namespace

std::string to_text(const minted_key& key)
{
    return std::string{prefix} + hex(key.expires.count()) + '-' + hex(key.incarnation) + '-' +
           key.random + '-' + key.instance_id;
}

bool is_minted(std::string_view text)
{
    return text.substr(0, prefix.size()) == prefix;
}

std::optional<minted_key> parse_minted_key(std::string_view text)
{
    if (!is_minted(text) || text.size() > max_text_size) {
        return std::nullopt;
    }
    const auto whole = text;
    text.remove_prefix(prefix.size());
    minted_key key;
    std::int64_t expires = 0;
    if (!parse_hex(take_field(text), expires) || !parse_hex(take_field(text), key.incarnation)) {
        return std::nullopt;
    }
    key.expires = std::chrono::milliseconds{expires};
    key.random = take_field(text);
    key.instance_id = text;
    const bool is_hex = key.random.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (key.random.size() != random_digits || !is_hex || key.instance_id.empty()) {
        return std::nullopt;
    }
    // Outcomes are looked up by the text, so another spelling of the key would not be found.
    return to_text(key) == whole ? std::optional{key} : std::nullopt;
}

} // namespace almondline::idempotency
