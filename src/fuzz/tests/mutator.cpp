#include "fuzz/tests/mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace almondline::fuzz {

namespace {

// Boundary values, and characters with a meaning in one of the formats.
constexpr std::array<std::string_view, 20> tokens{"0",
                                                  "-1",
                                                  "9223372036854775807",
                                                  "18446744073709551615",
                                                  "1e308",
                                                  "1e999",
                                                  "null",
                                                  "true",
                                                  "{}",
                                                  "[]",
                                                  "\"",
                                                  "\\",
                                                  "\r",
                                                  "\n",
                                                  "%2F",
                                                  "%2e",
                                                  "..",
                                                  ":",
                                                  " ",
                                                  "\xff"};

} // namespace

std::size_t mutator::below(std::size_t limit)
{
    // Not std::uniform_int_distribution, whose results differ between standard libraries.
    return limit == 0 ? 0 : random_() % limit;
}

void mutator::change(std::string& text, const std::vector<std::string>& seeds)
{
    const auto at = below(text.size() + 1);
    const auto length = below(text.size() - at + 1);
    switch (below(6)) {
    case 0:
        text.erase(at, length);
        break;
    case 1:
        text.insert(at, text.substr(at, length));
        break;
    case 2:
        text.insert(at, tokens[below(tokens.size())]);
        break;
    case 3:
        text.replace(at, std::min<std::size_t>(length, 4), tokens[below(tokens.size())]);
        break;
    case 4:
        text.replace(at, length, seeds[below(seeds.size())].substr(0, 64));
        break;
    default:
        if (at < text.size()) {
            text[at] = static_cast<char>(random_());
        }
    }
}

std::string mutator::make(const std::vector<std::string>& seeds)
{
    auto text = seeds[below(seeds.size())];
    for (auto left = 1 + below(4); left > 0; --left) {
        change(text, seeds);
    }
    return text;
}

} // namespace almondline::fuzz
