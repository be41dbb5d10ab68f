#include "manifest/types/manifest_pointer.h"

#include "common/json.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace almondline {

namespace {

boost::json::object to_json(const publication& it)
{
    return {{"version", it.version},        {"publish_id", it.publish_id},
            {"digest", it.digest},          {"chunk_count", it.chunk_count},
            {"operator", it.operator_name}, {"published_at", it.published_at}};
}

bool is_publication(const publication& it)
{
    return it.version > 0 && !it.publish_id.empty() && it.digest.size() == 64 &&
           it.chunk_count > 0 && it.chunk_count <= max_manifest_chunks;
}

publication from_json(const boost::json::value& value)
{
    publication it;
    it.version = integer_or(value, "version", 0);
    it.publish_id = string_or(value, "publish_id");
    it.digest = string_or(value, "digest");
    it.chunk_count = static_cast<int>(
        std::clamp<std::int64_t>(integer_or(value, "chunk_count", 0), 0, max_manifest_chunks + 1));
    it.operator_name = string_or(value, "operator");
    it.published_at = string_or(value, "published_at");
    return it;
}

} // namespace

std::string manifest_chunk_key(const std::string& publish_id, int chunk)
{
    return "manifest/body/" + publish_id + "/" + std::to_string(chunk);
}

std::string format_manifest_pointer(const manifest_pointer& pointer)
{
    auto object = to_json(pointer.current);
    boost::json::array history;
    for (const auto& it : pointer.history) {
        history.push_back(to_json(it));
    }
    object["history"] = std::move(history);
    return boost::json::serialize(object);
}

std::optional<manifest_pointer> parse_manifest_pointer(std::string_view text)
{
    const auto value = parse_json(text);
    if (!value || !value->is_object()) {
        return std::nullopt;
    }
    manifest_pointer pointer;
    pointer.current = from_json(*value);
    if (!is_publication(pointer.current)) {
        return std::nullopt;
    }
    const auto* history = value->as_object().if_contains("history");
    if (history == nullptr || !history->is_array()) {
        return pointer;
    }
    for (const auto& it : history->get_array()) {
        pointer.history.push_back(from_json(it));
    }
    return pointer;
}

} // namespace almondline
