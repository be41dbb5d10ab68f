#include "gateway/gateway_settings.h"

#include "common/log.h"

#include <boost/leaf/error.hpp>

namespace almondline::gateway {

namespace {

ip_endpoint endpoint_of(const settings& values, std::string_view name)
{
    ip_endpoint value;
    parse_endpoint(values.text(name), value);
    return value;
}

} // namespace

const std::vector<setting_spec>& gateway_setting_specs()
{
    using t = setting_type;
    static const std::vector<setting_spec> specs{
        {"gateway", "instance_name", t::text, true, "",
         "Name of the machine that the instance runs on."},
        {"gateway", "failure_domain", t::text, true, "", "Failure domain of this instance."},
        {"gateway", "listen", t::address, true, "", "Address for callers."},
        {"gateway", "health_listen", t::address, true, "", "Address of the readiness check."},
        {"gateway", "directory_listen", t::address, true, "",
         "Address where callers look up the instances to use."},
        {"gateway", "metrics_listen", t::address, true, "", "Address of the metrics."},
        {"gateway", "peer_listen", t::address, true, "", "Address for other instances."},
        {"gateway", "address_lifetime", t::duration, false, "2s",
         "How long callers may use the addresses they received."},
        {"gateway", "stop_limit", t::duration, false, "30s",
         "Time from a stop signal until the process is killed."},
        {"gateway", "memory_mb", t::integer, false, "256",
         "Memory that the process may use, in MiB."},
        {"gateway", "cores", t::number, false, "1",
         "CPU cores that the process may use. Instances with few cores do not grant."},
        {"gateway", "link_mbps", t::number, false, "100",
         "Bandwidth of the instance's network link, in Mbit/s."},
        {"gateway", "max_descriptors", t::integer, false, "4096",
         "File descriptors that the process may use."},
        {"store", "address", t::address, true, "", "Address of the key-value store."},
        {"store", "timeout", t::duration, false, "500ms", "Timeout of a call."},
        {"store", "server_interval", t::duration, false, "500ms",
         "Time between two calls to the store for the backend servers while their list changes."},
        {"store", "server_wait", t::duration, false, "8s",
         "How long a watch of the backend servers waits for a change."},
        {"store", "member_poll", t::duration, false, "5s",
         "Time between two reads of the instance list, in a fleet of up to 8 instances."},
        {"store", "config_wait", t::duration, false, "2s",
         "How long a watch of the operators' configuration waits for a change."},
        {"retries", "ratio", t::number, false, "0.2",
         "Retries that all instances together may send, per request."},
        {"retries", "window", t::duration, false, "10s",
         "Time window in which retries are counted."},
        {"retries", "extra", t::number, false, "20",
         "Additional retries of all instances together in a window, beyond the ratio."},
        {"allowances", "overage", t::number, false, "0",
         "Share by which an account may exceed its allowance in a window."},
        {"allowances", "slack", t::number, false, "0",
         "Tokens by which an account may exceed its allowance in a window, beyond the share."},
        {"allowances", "window", t::duration, false, "8s",
         "Time window in which the excess is counted."},
        {"log", "level", t::text, false, "info", "Lowest level: debug, info, warning or error."},
    };
    return specs;
}

boost::leaf::result<gateway_settings> load_gateway_settings(const std::string& path)
{
    BOOST_LEAF_AUTO(values, load_settings(path, gateway_setting_specs()));
    gateway_settings out;
    out.instance_name = values.text("gateway.instance_name");
    out.failure_domain = values.text("gateway.failure_domain");
    out.listen = endpoint_of(values, "gateway.listen");
    out.health_listen = endpoint_of(values, "gateway.health_listen");
    out.directory_listen = endpoint_of(values, "gateway.directory_listen");
    out.metrics_listen = endpoint_of(values, "gateway.metrics_listen");
    out.peer_address = values.text("gateway.peer_listen");
    out.address_lifetime = values.duration("gateway.address_lifetime");
    out.stop_limit = values.duration("gateway.stop_limit");
    out.memory_mb = values.integer("gateway.memory_mb");
    out.cores = values.number("gateway.cores");
    out.link_mbps = values.number("gateway.link_mbps");
    out.max_descriptors = values.integer("gateway.max_descriptors");
    out.store_address = endpoint_of(values, "store.address");
    out.store_timeout = values.duration("store.timeout");
    out.server_interval = values.duration("store.server_interval");
    out.server_wait = values.duration("store.server_wait");
    out.member_poll = values.duration("store.member_poll");
    out.config_wait = values.duration("store.config_wait");
    out.retries.ratio = values.number("retries.ratio");
    out.retries.window = values.duration("retries.window");
    out.retries.extra = values.number("retries.extra");
    out.allowances.overage = values.number("allowances.overage");
    out.allowances.slack = values.number("allowances.slack");
    out.allowances.window = values.duration("allowances.window");
    out.log_level = values.text("log.level");
    log_level level{};
    if (!parse_log_level(out.log_level, level)) {
        return boost::leaf::new_error(
            parse_error{path, 0, "log.level", "must be debug, info, warning or error"});
    }
    if (out.link_mbps <= 0) {
        return boost::leaf::new_error(parse_error{path, 0, "gateway.link_mbps", "must be above 0"});
    }
    return out;
}

} // namespace almondline::gateway
