#include "ctl/internal/options.h"

#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>

namespace almondline::ctl {

namespace {

const std::vector<setting_spec>& known_settings()
{
    static const std::vector<setting_spec> spec{
        {"store", "addresses", setting_type::addresses, false, "",
         "addresses of the key-value store"},
        {"entry", "address", setting_type::address, false, "",
         "address of the entry instance to operate"},
        {"entry", "ca_file", setting_type::text, false, "",
         "PEM file with the CA of the entry instance"},
        {"entry", "server_name", setting_type::text, false, "",
         "DNS name in the certificate of the entry instance"},
        {"operator", "key_file", setting_type::text, false, "",
         "file that contains the operator key"},
        {"operator", "name", setting_type::text, false, "",
         "operator name recorded in the manifest history"},
    };
    return spec;
}

std::string load_settings_file(const std::string& path, flag_values& values)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(file, load_settings(path, known_settings()));
            values.store_addresses = file.text("store.addresses");
            values.entry_address = file.text("entry.address");
            values.ca_file = file.text("entry.ca_file");
            values.server_name = file.text("entry.server_name");
            values.key_file = file.text("operator.key_file");
            values.operator_name = file.text("operator.name");
            return std::string{};
        },
        [](const parse_error& e) { return to_string(e); },
        [&] { return path + ": cannot be read"; });
}

std::string parse_addresses(const std::string& text, std::vector<ip_endpoint>& addresses)
{
    const settings parsed{{{"flags.store", text}}};
    for (const auto& it : parsed.list("flags.store")) {
        ip_endpoint address;
        if (!parse_endpoint(it, address)) {
            return "\"" + it + "\" is not an address of the form IP:PORT";
        }
        addresses.push_back(address);
    }
    return {};
}

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? std::string{} : value;
}

void override_with(std::string& value, const std::string& flag)
{
    if (!flag.empty()) {
        value = flag;
    }
}

} // namespace

std::string load_options(const flag_values& flags, ctl_options& options)
{
    flag_values values;
    options.config_path = flags.config_path;
    if (options.config_path.empty()) {
        options.config_path = environment("ALMONDCTL_CONFIG");
    }
    if (!options.config_path.empty()) {
        auto error = load_settings_file(options.config_path, values);
        if (!error.empty()) {
            return error;
        }
    }
    override_with(values.store_addresses, flags.store_addresses);
    override_with(values.entry_address, flags.entry_address);
    override_with(values.ca_file, flags.ca_file);
    override_with(values.server_name, flags.server_name);
    override_with(values.key_file, flags.key_file);
    override_with(values.operator_name, flags.operator_name);
    options.ca_file = values.ca_file;
    options.server_name = values.server_name;
    options.key_file = values.key_file;
    options.operator_name =
        values.operator_name.empty() ? environment("USER") : values.operator_name;
    if (!values.entry_address.empty() &&
        !parse_endpoint(values.entry_address, options.entry_address)) {
        return "\"" + values.entry_address + "\" is not an address of the form IP:PORT";
    }
    return parse_addresses(values.store_addresses, options.store_addresses);
}

} // namespace almondline::ctl
