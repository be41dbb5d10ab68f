#include "fuzz/invariant.h"
#include "fuzz/targets.h"
#include "http/types/message.h"

namespace almondline::fuzz {

void fuzz_http_target(std::string_view input)
{
    const auto path = target_path(input);
    require(path == input.substr(0, path.size()) && path.find('?') == path.npos,
            "the path is the part of the target before the query");
    require(percent_decode(input).size() <= input.size(), "decoding does not lengthen a text");
    const auto encoded = percent_encode(input);
    require(percent_decode(encoded) == input, "decoding reverses encoding");
    const auto split = input.find('\n');
    const std::string name{input.substr(0, split)};
    const std::string value{split == input.npos ? std::string_view{} : input.substr(split + 1)};
    query_parameter(input, name);
    const auto target =
        "/p?" + percent_encode(name) + "=" + encoded + "&v=" + percent_encode(value);
    require(name == "v" || query_parameter(target, "v") == value,
            "a query parameter is found by its name");
    const std::vector<http_header> headers{{name, value}};
    require(find_header(headers, name) == value, "a header is found by its name");
}

} // namespace almondline::fuzz
