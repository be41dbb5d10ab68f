#include "manifest/internal/json_reader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace almondline::manifest_internal {

namespace {

std::string describe(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

std::string describe(number_range range)
{
    if (range.max == std::numeric_limits<double>::max()) {
        return "at least " + describe(range.min);
    }
    return "between " + describe(range.min) + " and " + describe(range.max);
}

} // namespace

void error_collector::add(const std::string& path, const std::string& message)
{
    if (!first_) {
        first_ = parse_error{{}, 0, path, message};
    }
}

json_reader::json_reader(const boost::json::value& value, std::string path, error_collector& errors)
    : object_{value.if_object()}, path_{std::move(path)}, errors_{errors}
{
    if (object_ == nullptr) {
        errors_.add(path_.empty() ? "document" : path_, "must be an object");
    }
}

std::string json_reader::member_path(std::string_view key) const
{
    return path_.empty() ? std::string{key} : path_ + "." + std::string{key};
}

void json_reader::add_error(std::string_view key, const std::string& message)
{
    errors_.add(member_path(key), message);
}

const boost::json::value* json_reader::find(std::string_view key, bool is_required)
{
    read_keys_.emplace_back(key);
    if (object_ == nullptr) {
        return nullptr;
    }
    const auto* it = object_->if_contains(boost::json::string_view{key.data(), key.size()});
    if (it == nullptr && is_required) {
        add_error(key, "is missing");
    }
    return it;
}

std::string json_reader::text(std::string_view key)
{
    const auto* it = find(key, true);
    if (it == nullptr) {
        return {};
    }
    if (!it->is_string()) {
        add_error(key, "must be a string");
        return {};
    }
    return std::string{it->get_string().c_str(), it->get_string().size()};
}

double json_reader::number(std::string_view key, number_range range)
{
    const auto* it = find(key, true);
    if (it == nullptr) {
        return range.min;
    }
    if (!it->is_number()) {
        add_error(key, "must be a number");
        return range.min;
    }
    const double value = it->to_number<double>();
    if (!std::isfinite(value) || value < range.min || value > range.max) {
        add_error(key, "is " + describe(value) + " but must be " + describe(range));
    }
    return value;
}

std::int64_t json_reader::integer(std::string_view key, std::int64_t min, std::int64_t max)
{
    const auto* it = find(key, true);
    if (it == nullptr) {
        return min;
    }
    boost::system::error_code ec;
    const auto value = it->is_number() ? it->to_number<std::int64_t>(ec) : 0;
    if (!it->is_number() || ec) {
        add_error(key, "must be a whole number");
        return min;
    }
    if (value < min || value > max) {
        add_error(key, "is " + std::to_string(value) + " but must be between " +
                           std::to_string(min) + " and " + std::to_string(max));
    }
    return value;
}

bool json_reader::boolean(std::string_view key)
{
    const auto* it = find(key, true);
    if (it == nullptr) {
        return false;
    }
    if (!it->is_bool()) {
        add_error(key, "must be true or false");
        return false;
    }
    return it->get_bool();
}

double json_reader::number_or(std::string_view key, number_range range, double fallback)
{
    return find(key, false) == nullptr ? fallback : number(key, range);
}

std::int64_t json_reader::integer_or(std::string_view key, std::int64_t min, std::int64_t max,
                                     std::int64_t fallback)
{
    return find(key, false) == nullptr ? fallback : integer(key, min, max);
}

std::vector<std::string> json_reader::texts_or_empty(std::string_view key)
{
    std::vector<std::string> out;
    const auto* it = find(key, false);
    if (it == nullptr) {
        return out;
    }
    if (!it->is_array()) {
        add_error(key, "must be an array of strings");
        return out;
    }
    for (const auto& element : it->get_array()) {
        if (!element.is_string()) {
            add_error(key, "must be an array of strings");
            return out;
        }
        out.emplace_back(element.get_string().c_str(), element.get_string().size());
    }
    return out;
}

void json_reader::each(std::string_view key, bool is_required,
                       const std::function<void(json_reader&)>& read_element)
{
    const auto* it = find(key, is_required);
    if (it == nullptr) {
        return;
    }
    if (!it->is_array()) {
        add_error(key, "must be an array");
        return;
    }
    std::size_t index = 0;
    for (const auto& element : it->get_array()) {
        json_reader reader{element, member_path(key) + "[" + std::to_string(index) + "]", errors_};
        read_element(reader);
        reader.finish();
        ++index;
    }
}

void json_reader::finish()
{
    if (object_ == nullptr) {
        return;
    }
    for (const auto& member : *object_) {
        const std::string key{member.key().data(), member.key().size()};
        if (std::find(read_keys_.begin(), read_keys_.end(), key) == read_keys_.end()) {
            add_error(key, "is not a known member");
        }
    }
}

} // namespace almondline::manifest_internal
