#include "common/json.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/stream_parser.hpp>
#include <boost/leaf/error.hpp>
#include <cmath>

namespace almondline {

namespace {

constexpr std::size_t max_json_depth = 32;

const boost::json::value* find_member(const boost::json::value& object, std::string_view key)
{
    if (!object.is_object()) {
        return nullptr;
    }
    return object.get_object().if_contains(boost::json::string_view{key.data(), key.size()});
}

/// The parser turns numbers beyond the range of a double into infinity, which JSON can't represent.
bool is_finite(const boost::json::value& value)
{
    if (value.is_double()) {
        return std::isfinite(value.get_double());
    }
    if (value.is_array()) {
        const auto& array = value.get_array();
        return std::all_of(array.begin(), array.end(), is_finite);
    }
    if (value.is_object()) {
        const auto& object = value.get_object();
        return std::all_of(object.begin(), object.end(),
                           [](const auto& it) { return is_finite(it.value()); });
    }
    return true;
}

int line_at(std::string_view text, std::size_t offset)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
    return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

} // namespace

boost::leaf::result<boost::json::value> parse_json(std::string_view text)
{
    boost::json::parse_options options;
    options.max_depth = max_json_depth;
    boost::json::stream_parser parser{{}, options};
    boost::system::error_code ec;
    const std::size_t n = parser.write_some(text.data(), text.size(), ec);
    if (!ec && n < text.size()) {
        const auto rest = text.substr(n);
        if (rest.find_first_not_of(" \t\r\n") != rest.npos) {
            ec = boost::json::error::extra_data;
        }
    }
    if (!ec) {
        parser.finish(ec);
    }
    if (ec) {
        return boost::leaf::new_error(
            parse_error{{}, line_at(text, n), {}, "JSON: " + ec.message()});
    }
    auto value = parser.release();
    if (!is_finite(value)) {
        return boost::leaf::new_error(parse_error{{}, 0, {}, "JSON: number out of range"});
    }
    return value;
}

std::optional<boost::json::value> try_parse_object(std::string_view text)
{
    boost::system::error_code ec;
    auto value = boost::json::parse(boost::json::string_view{text.data(), text.size()}, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return value;
}

const boost::json::array* find_array(const boost::json::value& object, std::string_view key)
{
    const auto* it = find_member(object, key);
    return it == nullptr ? nullptr : it->if_array();
}

const boost::json::value* find_object(const boost::json::value& object, std::string_view key)
{
    const auto* it = find_member(object, key);
    return it != nullptr && it->is_object() ? it : nullptr;
}

std::string string_or(const boost::json::value& object, std::string_view key,
                      std::string_view fallback)
{
    const auto* it = find_member(object, key);
    if (it == nullptr || !it->is_string()) {
        return std::string{fallback};
    }
    return std::string{it->get_string().data(), it->get_string().size()};
}

double number_or(const boost::json::value& object, std::string_view key, double fallback)
{
    const auto* it = find_member(object, key);
    if (it == nullptr || !it->is_number()) {
        return fallback;
    }
    return it->to_number<double>();
}

std::int64_t integer_or(const boost::json::value& object, std::string_view key,
                        std::int64_t fallback)
{
    const auto* it = find_member(object, key);
    if (it == nullptr || !it->is_number()) {
        return fallback;
    }
    boost::system::error_code ec;
    const auto n = it->to_number<std::int64_t>(ec);
    return ec ? fallback : n;
}

bool bool_or(const boost::json::value& object, std::string_view key, bool fallback)
{
    const auto* it = find_member(object, key);
    if (it == nullptr || !it->is_bool()) {
        return fallback;
    }
    return it->get_bool();
}

} // namespace almondline
