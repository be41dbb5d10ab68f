#include "common/settings.h"

#include <boost/asio/ip/address.hpp>
#include <boost/leaf/error.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

namespace almondline {

namespace {

bool parse_unsigned(std::string_view text, std::uint64_t& value)
{
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc{} && ptr == end && !text.empty();
}

/// Decimal digits with at most one point, such as "2" or "0.25".
bool parse_number(std::string_view text, double& value)
{
    if (text.empty() || text.find_first_not_of("0123456789.") != text.npos) {
        return false;
    }
    const auto* end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc{} && rest == end;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == text.npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> split_list(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto item = trim(text.substr(0, comma));
        if (!item.empty()) {
            items.emplace_back(item);
        }
        text = comma == text.npos ? std::string_view{} : text.substr(comma + 1);
    }
    return items;
}

bool is_address(std::string_view text)
{
    ip_endpoint ignored;
    return parse_endpoint(text, ignored);
}

bool is_address_list(const std::string& text)
{
    const auto items = split_list(text);
    for (const auto& it : items) {
        if (!is_address(it)) {
            return false;
        }
    }
    return !items.empty();
}

/// Text of the error, empty if the value fits the type.
std::string check_value(setting_type type, const std::string& value)
{
    std::uint64_t n = 0;
    std::chrono::milliseconds ms{};
    switch (type) {
    case setting_type::text:
        return {};
    case setting_type::number: {
        double n = 0;
        return parse_number(value, n) ? "" : "\"" + value + "\" is not a number";
    }
    case setting_type::integer:
        return parse_unsigned(value, n) ? "" : "\"" + value + "\" is not a whole number";
    case setting_type::duration:
        return parse_duration(value, ms)
                   ? ""
                   : "\"" + value + "\" is not a duration with a unit of ms, s, m or h";
    case setting_type::address:
        return is_address(value) ? "" : "\"" + value + "\" is not an address of the form IP:PORT";
    case setting_type::addresses:
        return is_address_list(value)
                   ? ""
                   : "\"" + value + "\" is not a list of addresses of the form IP:PORT";
    }
    return "unknown type";
}

const setting_spec* find_spec(const std::vector<setting_spec>& spec, const std::string& section,
                              const std::string& key)
{
    for (const auto& it : spec) {
        if (it.section == section && it.key == key) {
            return &it;
        }
    }
    return nullptr;
}

boost::leaf::result<void> read_section(const std::string& section,
                                       const boost::property_tree::ptree& keys,
                                       const std::string& path,
                                       const std::vector<setting_spec>& spec,
                                       std::map<std::string, std::string>& values)
{
    if (keys.empty() && !keys.data().empty()) {
        return boost::leaf::new_error(parse_error{path, 0, section, "key outside of a section"});
    }
    for (const auto& [key, node] : keys) {
        const std::string name = section + "." + key;
        const auto* known = find_spec(spec, section, key);
        if (known == nullptr) {
            return boost::leaf::new_error(parse_error{path, 0, name, "unknown key"});
        }
        const auto problem = check_value(known->type, node.data());
        if (!problem.empty()) {
            return boost::leaf::new_error(parse_error{path, 0, name, problem});
        }
        values[name] = node.data();
    }
    return {};
}

} // namespace

bool parse_duration(std::string_view text, std::chrono::milliseconds& value)
{
    const auto digits = text.find_first_not_of("0123456789.");
    double n = 0;
    if (digits == text.npos || !parse_number(text.substr(0, digits), n) || n > 1e9) {
        return false;
    }
    const auto unit = text.substr(digits);
    std::chrono::milliseconds unit_length{0};
    if (unit == "ms") {
        unit_length = std::chrono::milliseconds{1};
    }
    else if (unit == "s") {
        unit_length = std::chrono::seconds{1};
    }
    else if (unit == "m") {
        unit_length = std::chrono::minutes{1};
    }
    else if (unit == "h") {
        unit_length = std::chrono::hours{1};
    }
    else {
        return false;
    }
    value = std::chrono::duration_cast<std::chrono::milliseconds>(unit_length * n);
    return true;
}

bool parse_endpoint(std::string_view text, ip_endpoint& value)
{
    const auto colon = text.rfind(':');
    if (colon == text.npos) {
        return false;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint64_t port = 0;
    if (!parse_unsigned(text.substr(colon + 1), port) || port > 65535) {
        return false;
    }
    // make_address() would read a host only up to an embedded NUL.
    if (host.find('\0') != host.npos) {
        return false;
    }
    boost::system::error_code ec;
    boost::asio::ip::make_address(host, ec);
    if (ec) {
        return false;
    }
    value.host = std::string{host};
    value.port = static_cast<std::uint16_t>(port);
    return true;
}

std::string to_string(const ip_endpoint& value)
{
    const bool is_v6 = value.host.find(':') != value.host.npos;
    const auto host = is_v6 ? "[" + value.host + "]" : value.host;
    return host + ":" + std::to_string(value.port);
}

boost::leaf::result<settings> parse_settings(const std::string& content, const std::string& path,
                                             const std::vector<setting_spec>& spec)
{
    boost::property_tree::ptree tree;
    std::istringstream in{content};
    try {
        boost::property_tree::read_ini(in, tree);
    }
    catch (const boost::property_tree::ini_parser_error& e) {
        return boost::leaf::new_error(
            parse_error{path, static_cast<int>(e.line()), {}, e.message()});
    }
    std::map<std::string, std::string> values;
    for (const auto& it : spec) {
        if (!it.is_required) {
            values[it.section + "." + it.key] = it.default_value;
        }
    }
    for (const auto& [section, keys] : tree) {
        BOOST_LEAF_CHECK(read_section(section, keys, path, spec, values));
    }
    for (const auto& it : spec) {
        const std::string name = it.section + "." + it.key;
        if (values.count(name) == 0) {
            return boost::leaf::new_error(parse_error{path, 0, name, "required key is missing"});
        }
    }
    return settings{std::move(values)};
}

boost::leaf::result<settings> load_settings(const std::string& path,
                                            const std::vector<setting_spec>& spec)
{
    const std::ifstream in{path};
    if (!in) {
        return boost::leaf::new_error(parse_error{path, 0, {}, "cannot open the file"});
    }
    std::ostringstream buf;
    buf << in.rdbuf();
    return parse_settings(buf.str(), path, spec);
}

std::string settings::text(std::string_view name) const
{
    const auto it = values_.find(std::string{name});
    return it == values_.end() ? std::string{} : it->second;
}

double settings::number(std::string_view name) const
{
    double value = 0;
    parse_number(text(name), value);
    return value;
}

std::uint64_t settings::integer(std::string_view name) const
{
    std::uint64_t n = 0;
    parse_unsigned(text(name), n);
    return n;
}

std::chrono::milliseconds settings::duration(std::string_view name) const
{
    std::chrono::milliseconds value{0};
    parse_duration(text(name), value);
    return value;
}

std::vector<std::string> settings::list(std::string_view name) const
{
    return split_list(text(name));
}

std::string describe_settings(const std::vector<setting_spec>& spec)
{
    std::string out = "| key | default | meaning |\n| --- | --- | --- |\n";
    for (const auto& it : spec) {
        const std::string fallback =
            it.is_required ? "required" : (it.default_value.empty() ? "empty" : it.default_value);
        out +=
            "| `" + it.section + "." + it.key + "` | " + fallback + " | " + it.description + " |\n";
    }
    return out;
}

} // namespace almondline
