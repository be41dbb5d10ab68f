#pragma once

#include "common/types/parse_error.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondline {

/// Parses JSON with at most 32 levels of nesting and numbers within the range of a double. The
/// parse_error contains the line of a syntax error.
boost::leaf::result<boost::json::value> parse_json(std::string_view text);

/// Parses a JSON object, for callers that don't need the cause of an error. Returns nullopt for any
/// other text.
std::optional<boost::json::value> try_parse_object(std::string_view text);

/// Array member of an object, nullptr if it is missing or of another type.
const boost::json::array* find_array(const boost::json::value& object, std::string_view key);

/// Member of an object that is an object itself, nullptr if it is missing or of another type.
const boost::json::value* find_object(const boost::json::value& object, std::string_view key);

/// String member of an object, or the fallback if it is missing or of another type.
std::string string_or(const boost::json::value& object, std::string_view key,
                      std::string_view fallback = {});

/// Number member of an object, or the fallback if it is missing or of another type.
double number_or(const boost::json::value& object, std::string_view key, double fallback);

/// Integer member of an object, or the fallback if it is missing, fractional or out of range.
std::int64_t integer_or(const boost::json::value& object, std::string_view key,
                        std::int64_t fallback);

/// Boolean member of an object, or the fallback if it is missing or of another type.
bool bool_or(const boost::json::value& object, std::string_view key, bool fallback);

} // namespace almondline
