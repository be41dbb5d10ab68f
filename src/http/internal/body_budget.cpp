#include "http/internal/body_budget.h"

#include <algorithm>

namespace almondline::http_internal {

namespace {

/// Beast reads at most this many bytes at a time.
constexpr std::size_t max_read_bytes = 64 * 1024;

} // namespace

std::uint64_t expected_body(const string_parser& parser, const http_server_limits& limits)
{
    if (parser.chunked()) {
        return std::min(limits.unannounced_body_bytes, limits.max_body_bytes);
    }
    const auto length = parser.content_length();
    return length ? std::min<std::uint64_t>(*length, limits.max_body_bytes) : 0;
}

bool reserve_next_part(std::string& body, std::size_t buffered, body_reservation& reserved,
                       const http_server_limits& limits)
{
    const std::uint64_t part_end =
        std::min<std::uint64_t>(body.size() + buffered + max_read_bytes, limits.max_body_bytes);
    const std::uint64_t needed =
        std::max(part_end, std::min(limits.unannounced_body_bytes, limits.max_body_bytes));
    if (part_end <= body.capacity()) {
        return reserved.resize(needed);
    }
    // While the buffer grows, the bytes exist in the old one and in the new one.
    if (!reserved.resize(needed + body.size())) {
        return false;
    }
    body.reserve(part_end); // at least doubles the capacity
    return reserved.resize(needed);
}

} // namespace almondline::http_internal
