#include "common/settings.h"

#include "entry/entry_settings.h"
#include "fuzz/invariant.h"
#include "fuzz/targets.h"

namespace almondline::fuzz {

namespace {

std::string write_settings(const settings& values, const std::vector<setting_spec>& specs)
{
    std::string text;
    std::string section;
    for (const auto& it : specs) {
        if (it.section != section) {
            section = it.section;
            text += "[" + section + "]\n";
        }
        text += it.key + "=" + values.text(section + "." + it.key) + "\n";
    }
    return text;
}

void check_values(const settings& values, const std::vector<setting_spec>& specs)
{
    for (const auto& it : specs) {
        const auto name = it.section + "." + it.key;
        require(it.type != setting_type::duration || values.duration(name).count() >= 0,
                "a duration is not negative");
        require(it.type != setting_type::addresses || !values.list(name).empty(),
                "a list of addresses has an element");
        ip_endpoint endpoint;
        require(it.type != setting_type::address || parse_endpoint(values.text(name), endpoint),
                "an address setting has a valid host and port");
    }
}

} // namespace

void fuzz_settings(std::string_view input)
{
    std::chrono::milliseconds duration{0};
    require(!parse_duration(input, duration) || duration.count() >= 0,
            "a duration is not negative");
    ip_endpoint endpoint;
    if (parse_endpoint(input, endpoint)) {
        ip_endpoint again;
        const auto text = "[" + endpoint.host + "]:" + std::to_string(endpoint.port);
        require(parse_endpoint(text, again) && again.host == endpoint.host &&
                    again.port == endpoint.port,
                "a formatted address parses to the same address");
    }
    const auto& specs = entry::entry_setting_specs();
    const auto values = parse_settings(std::string{input}, "fuzz", specs);
    if (!values) {
        return;
    }
    check_values(*values, specs);
    const auto again = parse_settings(write_settings(*values, specs), "fuzz", specs);
    require(static_cast<bool>(again), "formatted settings can be parsed");
    for (const auto& it : specs) {
        const auto name = it.section + "." + it.key;
        require(again->text(name) == values->text(name),
                "formatted settings parse to the same values");
    }
}

} // namespace almondline::fuzz
