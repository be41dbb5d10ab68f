#include "backend/completion.h"

#include "common/json.h"
#include "fuzz/invariant.h"
#include "fuzz/targets.h"

#include <cmath>

namespace almondline::fuzz {

namespace {

bool is_valid_count(double value)
{
    return std::isfinite(value) && value >= 0;
}

} // namespace

/// The input contains one chunk per line.
void fuzz_completion(std::string_view input)
{
    backend::completion_builder builder;
    while (!input.empty()) {
        const auto end = input.find('\n');
        const auto before = builder.content_chunks();
        builder.add_chunk(input.substr(0, end));
        require(builder.content_chunks() >= before,
                "the number of content chunks does not decrease");
        input = end == input.npos ? std::string_view{} : input.substr(end + 1);
    }
    const auto& usage = builder.usage();
    require(is_valid_count(usage.prompt_tokens) && is_valid_count(usage.completion_tokens) &&
                is_valid_count(usage.cached_tokens),
            "token counts are finite and not negative");
    const auto answer = parse_json(builder.build());
    require(static_cast<bool>(answer), "the answer is valid JSON");
    require(string_or(*answer, "object") == "chat.completion",
            "the answer has the object type chat.completion");
}

} // namespace almondline::fuzz
