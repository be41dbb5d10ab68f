#include "http/types/message.h"

#include <algorithm>
#include <cctype>

namespace almondline {

namespace {

bool equal_without_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

int hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name)
{
    for (const auto& it : headers) {
        if (equal_without_case(it.name, name)) {
            return it.value;
        }
    }
    return {};
}

std::string_view target_path(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string query_parameter(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == target.npos) {
        return {};
    }
    auto query = target.substr(question + 1);
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == pair.npos ? std::string{} : percent_decode(pair.substr(equals + 1));
        }
        query = end == query.npos ? std::string_view{} : query.substr(end + 1);
    }
    return {};
}

http_response json_response(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || std::string_view{"-._~"}.find(c) != std::string_view::npos) {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 0x0fU];
    }
    return out;
}

std::string percent_decode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool is_escape = text[i] == '%' && i + 2 < text.size();
        const int high = is_escape ? hex_digit(text[i + 1]) : -1;
        const int low = is_escape ? hex_digit(text[i + 2]) : -1;
        if (high < 0 || low < 0) {
            out += text[i];
            continue;
        }
        out += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return out;
}

} // namespace almondline
