#include "backend/event_stream.h"

#include "fuzz/invariant.h"
#include "fuzz/targets.h"

namespace almondline::fuzz {

namespace {

using events = std::vector<backend::stream_event>;

bool is_same(const events& a, const events& b)
{
    if (a.size() != b.size()) {
        return false;
    }
    for (std::size_t i = 0; i < a.size(); ++i) {
        if (a[i].id != b[i].id || a[i].data != b[i].data) {
            return false;
        }
    }
    return true;
}

events parse_whole(std::string_view input)
{
    backend::event_parser parser;
    events result;
    parser.parse(input, result);
    return result;
}

events parse_pieces(std::string_view input, std::size_t size)
{
    backend::event_parser parser;
    events result;
    for (std::size_t start = 0; start < input.size(); start += size) {
        parser.parse(input.substr(start, size), result);
    }
    return result;
}

} // namespace

void fuzz_event_stream(std::string_view input)
{
    const auto whole = parse_whole(input);
    for (const std::size_t size : {1U, 2U, 7U}) {
        require(is_same(parse_pieces(input, size), whole),
                "an input parsed in pieces gives the same events");
    }
    std::string text;
    for (const auto& it : whole) {
        text += backend::format_event(it);
    }
    require(is_same(parse_whole(text), whole), "formatted events parse to the same events");
}

} // namespace almondline::fuzz
