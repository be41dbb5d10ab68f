#pragma once

#include "common/types/parse_error.h"

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace almondline {

enum class setting_type {
    text,
    integer,  ///< decimal, not negative
    number,   ///< decimal, not negative, may have a fraction
    duration, ///< with a unit: ms, s, m or h
    address,  ///< IP:PORT, IPv6 in brackets
    addresses ///< one or more addresses, separated by commas
};

/// Specification of one key. A required key has no default.
struct setting_spec {
    std::string section;
    std::string key;
    setting_type type = setting_type::text;
    bool is_required = false;
    std::string default_value;
    std::string description;
};

/// Checked values of a settings file, with the defaults filled in.
class settings {
public:
    explicit settings(std::map<std::string, std::string> values) : values_{std::move(values)} {}

    /// Each accessor takes a name "section.key" that the spec contains.
    std::string text(std::string_view name) const;
    std::uint64_t integer(std::string_view name) const;
    double number(std::string_view name) const;
    std::chrono::milliseconds duration(std::string_view name) const;
    std::vector<std::string> list(std::string_view name) const;

private:
    std::map<std::string, std::string> values_;
};

/// Reads an INI file. An unknown section or key, a value of the wrong type or a missing required
/// key is a parse_error with the file and "section.key".
boost::leaf::result<settings> load_settings(const std::string& path,
                                            const std::vector<setting_spec>& spec);

/// Same as load_settings() for text that has already been read; path is used only in errors.
boost::leaf::result<settings> parse_settings(const std::string& content, const std::string& path,
                                             const std::vector<setting_spec>& spec);

/// Parses "250ms", "3s", "2.5s", "5m" or "1h", to whole milliseconds. Returns false for anything
/// else.
bool parse_duration(std::string_view text, std::chrono::milliseconds& value);

/// IP address and port of "IP:PORT".
struct ip_endpoint {
    std::string host;
    std::uint16_t port = 0;
};

/// Parses "IP:PORT" or "[IPv6]:PORT". Returns false if the IP address or the port is invalid.
bool parse_endpoint(std::string_view text, ip_endpoint& value);

/// Formats as "IP:PORT" or "[IPv6]:PORT", which parse_endpoint() accepts.
std::string to_string(const ip_endpoint& value);

/// Returns a Markdown table of the keys with their defaults and descriptions.
std::string describe_settings(const std::vector<setting_spec>& spec);

} // namespace almondline
