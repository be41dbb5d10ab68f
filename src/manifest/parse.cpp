#include "manifest/parse.h"

#include "common/hash.h"
#include "common/json.h"
#include "manifest/internal/check.h"
#include "manifest/internal/json_reader.h"

#include <boost/leaf/handle_errors.hpp>

namespace almondline {

using namespace manifest_internal;

namespace {

constexpr std::int64_t schema_version = 1;
constexpr number_range floor_range{0, 0.99};
constexpr number_range weight_range{0.001, 1e6};
constexpr number_range positive_range{0.001, 1e12};
constexpr std::int64_t max_count = 1'000'000;
constexpr std::int64_t max_deadline_ms = std::int64_t{24} * 3600 * 1000;

tier_policy read_tier(json_reader& reader)
{
    tier_policy it;
    it.name = reader.text("name");
    it.floor = reader.number_or("floor", floor_range, it.floor);
    return it;
}

kind_policy read_kind(json_reader& reader)
{
    kind_policy it;
    it.name = reader.text("name");
    it.weight = reader.number_or("weight", weight_range, it.weight);
    it.floor = reader.number_or("floor", floor_range, it.floor);
    return it;
}

account_policy read_account(json_reader& reader)
{
    account_policy it;
    it.name = reader.text("name");
    it.weight = reader.number_or("weight", weight_range, it.weight);
    it.max_in_progress = static_cast<int>(reader.integer_or("max_in_progress", 0, max_count, 0));
    it.tiers = reader.texts_or_empty("tiers");
    it.key_hashes = reader.texts_or_empty("key_hashes");
    return it;
}

engine_class_policy read_engine_class(json_reader& reader)
{
    engine_class_policy it;
    it.name = reader.text("name");
    it.prefill_tokens_per_second = reader.number("prefill_tokens_per_second", positive_range);
    it.decode_tokens_per_second = reader.number("decode_tokens_per_second", positive_range);
    it.kv_tokens = reader.number("kv_tokens", positive_range);
    it.max_in_flight = static_cast<int>(reader.integer("max_in_flight", 1, max_count));
    return it;
}

call_policy read_call(json_reader& reader)
{
    call_policy it;
    it.method = reader.text("method");
    it.path = reader.text("path");
    it.is_idempotent = reader.boolean("idempotent");
    return it;
}

service_type read_type(json_reader& reader)
{
    const auto type = reader.text("type");
    if (type != "model" && type != "plain") {
        reader.add_error("type", "must be \"model\" or \"plain\"");
    }
    return type == "plain" ? service_type::plain : service_type::model;
}

service_policy read_service(json_reader& reader)
{
    service_policy it;
    const auto integer = [&](const char* key, std::int64_t min, std::int64_t max, int fallback) {
        return static_cast<int>(reader.integer_or(key, min, max, fallback));
    };
    it.name = reader.text("name");
    it.type = read_type(reader);
    it.models = reader.texts_or_empty("models");
    it.default_tier = reader.text("default_tier");
    it.default_kind = reader.text("default_kind");
    it.deadline = std::chrono::milliseconds{
        reader.integer_or("deadline_ms", 1, max_deadline_ms, it.deadline.count())};
    it.max_waiting = integer("max_waiting", 1, max_count, it.max_waiting);
    it.retry_budget_percent = integer("retry_budget_percent", 0, 100, it.retry_budget_percent);
    it.slice_replicas = integer("slice_replicas", 1, max_count, it.slice_replicas);
    it.plain_max_in_flight = integer("plain_max_in_flight", 1, max_count, it.plain_max_in_flight);
    reader.each("calls", false, [&](json_reader& call) { it.calls.push_back(read_call(call)); });
    return it;
}

placement_policy read_placement(json_reader& reader)
{
    placement_policy it;
    it.model = reader.text("model");
    it.size_mb = reader.number("size_mb", positive_range);
    it.min_replicas = static_cast<int>(reader.integer("min_replicas", 0, max_count));
    it.max_replicas = static_cast<int>(reader.integer("max_replicas", 1, max_count));
    return it;
}

manifest read_manifest(json_reader& reader)
{
    manifest m;
    reader.integer("schema", schema_version, schema_version);
    m.name = reader.text("name");
    reader.each("tiers", true, [&](json_reader& it) { m.tiers.push_back(read_tier(it)); });
    reader.each("kinds", true, [&](json_reader& it) { m.kinds.push_back(read_kind(it)); });
    reader.each("accounts", true, [&](json_reader& it) { m.accounts.push_back(read_account(it)); });
    reader.each("engine_classes", false,
                [&](json_reader& it) { m.engine_classes.push_back(read_engine_class(it)); });
    reader.each("services", true, [&](json_reader& it) { m.services.push_back(read_service(it)); });
    reader.each("placements", false,
                [&](json_reader& it) { m.placements.push_back(read_placement(it)); });
    reader.finish();
    return m;
}

void check_not_empty(const manifest& m, json_reader& reader)
{
    const std::string message = "must have at least one element";
    if (m.tiers.empty()) {
        reader.add_error("tiers", message);
    }
    if (m.kinds.empty()) {
        reader.add_error("kinds", message);
    }
    if (m.services.empty()) {
        reader.add_error("services", message);
    }
}

boost::leaf::result<manifest> parse_text(std::string_view text)
{
    if (text.size() > max_manifest_bytes) {
        return boost::leaf::new_error(
            parse_error{{},
                        0,
                        {},
                        "the manifest has " + std::to_string(text.size()) +
                            " bytes, above the limit of " + std::to_string(max_manifest_bytes)});
    }
    BOOST_LEAF_AUTO(document, parse_json(text));
    error_collector errors;
    json_reader reader{document, {}, errors};
    manifest m = read_manifest(reader);
    check_not_empty(m, reader);
    check_manifest(m, errors);
    if (errors.first()) {
        return boost::leaf::new_error(*errors.first());
    }
    m.digest = sha256_hex(text);
    return m;
}

} // namespace

std::optional<manifest> try_parse_manifest(std::string_view text, const std::string& file,
                                           parse_error& error)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<manifest>> {
            BOOST_LEAF_AUTO(m, parse_text(text));
            return std::optional<manifest>{std::move(m)};
        },
        [&](const parse_error& e) {
            error = e;
            error.file = file;
            return std::optional<manifest>{};
        },
        [&] {
            error = {file, 0, {}, "the manifest can't be parsed"};
            return std::optional<manifest>{};
        });
}

boost::leaf::result<manifest> parse_manifest(std::string_view text, const std::string& file)
{
    parse_error error;
    auto m = try_parse_manifest(text, file, error);
    if (!m) {
        return boost::leaf::new_error(error);
    }
    return std::move(*m);
}

} // namespace almondline
