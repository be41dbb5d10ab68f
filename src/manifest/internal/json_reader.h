#pragma once

#include "common/types/parse_error.h"

#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondline::manifest_internal {

/// Keeps the first error found in a document.
class error_collector {
public:
    void add(const std::string& path, const std::string& message);
    const std::optional<parse_error>& first() const { return first_; }

private:
    std::optional<parse_error> first_;
};

/// Range of a number, limits included.
struct number_range {
    double min = 0;
    double max = std::numeric_limits<double>::max();
};

/// Reads the members of a JSON object and reports missing, mistyped and unknown ones with their
/// path. After an error, reads continue with default values, so that callers need no error paths.
class json_reader {
public:
    json_reader(const boost::json::value& value, std::string path, error_collector& errors);

    /// Each reads a required member.
    std::string text(std::string_view key);
    double number(std::string_view key, number_range range);
    std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max);
    bool boolean(std::string_view key);

    /// Each reads an optional member. Returns the fallback or an empty list if it is missing.
    double number_or(std::string_view key, number_range range, double fallback);
    std::int64_t integer_or(std::string_view key, std::int64_t min, std::int64_t max,
                            std::int64_t fallback);
    std::vector<std::string> texts_or_empty(std::string_view key);

    /// Calls read_element for each element of an array of objects. A missing array is an error only
    /// if is_required is true.
    void each(std::string_view key, bool is_required,
              const std::function<void(json_reader&)>& read_element);

    /// Reports each member that was not read as unknown.
    void finish();
    void add_error(std::string_view key, const std::string& message);
    const std::string& path() const { return path_; }

private:
    const boost::json::value* find(std::string_view key, bool is_required);
    std::string member_path(std::string_view key) const;

    const boost::json::object* object_ = nullptr;
    std::string path_;
    error_collector& errors_;
    std::vector<std::string> read_keys_;
};

} // namespace almondline::manifest_internal
