#include "backend/reports.h"

#include "common/json.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/leaf/error.hpp>
#include <charconv>

namespace almondline::backend {

namespace json = boost::json;

namespace {

// Limit the memory that one report may take.
constexpr std::size_t max_events = 10'000;
constexpr std::size_t max_models = 1'000;
// Larger values come from a faulty engine. Ages of a few centuries overflow the clock, and sums of
// token counts near the largest double become infinite.
constexpr std::int64_t max_age_ms = std::int64_t{60} * 60 * 1000;
constexpr double max_tokens = 1e12;

std::uint64_t parse_block(const std::string& text)
{
    std::uint64_t block = 0;
    std::from_chars(text.data(), text.data() + text.size(), block, 16);
    return block;
}

double tokens_or_zero(const json::value& object, std::string_view key)
{
    return std::clamp(number_or(object, key, 0), 0.0, max_tokens);
}

std::uint64_t sequence_or_zero(const json::value& object, std::string_view key)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, integer_or(object, key, 0)));
}

int count_or_zero(const json::value& object, std::string_view key)
{
    constexpr std::int64_t max_count = 1'000'000;
    return static_cast<int>(std::clamp<std::int64_t>(integer_or(object, key, 0), 0, max_count));
}

} // namespace

boost::leaf::result<routing::load_report> parse_load_report(std::string_view text)
{
    BOOST_LEAF_AUTO(parsed, parse_json(text));
    if (!parsed.is_object()) {
        return boost::leaf::new_error(parse_error{{}, 0, "load report", "must be a JSON object"});
    }
    routing::load_report report;
    report.age = std::chrono::milliseconds{
        std::clamp<std::int64_t>(integer_or(parsed, "age_ms", 0), 0, max_age_ms)};
    report.running = count_or_zero(parsed, "running");
    report.waiting = count_or_zero(parsed, "waiting");
    report.role = string_or(parsed, "role");
    report.kv_used_tokens = tokens_or_zero(parsed, "kv_used_tokens");
    report.kv_capacity_tokens = tokens_or_zero(parsed, "kv_capacity_tokens");
    report.is_leaving = bool_or(parsed, "leaving", false);
    if (const auto* models = find_array(parsed, "models")) {
        for (const auto& it : *models) {
            if (it.is_string() && report.models.size() < max_models) {
                const auto& name = it.get_string();
                report.models.emplace_back(name.data(), name.size());
            }
        }
    }
    return report;
}

boost::leaf::result<routing::cache_events> parse_cache_events(std::string_view text)
{
    BOOST_LEAF_AUTO(parsed, parse_json(text));
    const auto* events = parsed.is_object() ? find_array(parsed, "events") : nullptr;
    if (events == nullptr) {
        return boost::leaf::new_error(parse_error{{}, 0, "events", "missing or not an array"});
    }
    routing::cache_events batch;
    batch.first_sequence = sequence_or_zero(parsed, "first_seq");
    batch.next_sequence = sequence_or_zero(parsed, "next_seq");
    for (const auto& it : *events) {
        if (batch.events.size() == max_events) {
            break;
        }
        routing::cache_event event;
        event.sequence = sequence_or_zero(it, "seq");
        event.kind = string_or(it, "kind") == "evicted" ? routing::cache_event_kind::evicted
                                                        : routing::cache_event_kind::stored;
        event.block = parse_block(string_or(it, "block"));
        batch.events.push_back(event);
    }
    return batch;
}

} // namespace almondline::backend
