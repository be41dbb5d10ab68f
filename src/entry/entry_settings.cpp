#include "entry/entry_settings.h"

#include "common/log.h"

#include <boost/leaf/error.hpp>

namespace almondline::entry {

namespace {

ip_endpoint endpoint_of(const std::string& text)
{
    ip_endpoint value;
    parse_endpoint(text, value);
    return value;
}

} // namespace

const std::vector<setting_spec>& entry_setting_specs()
{
    using t = setting_type;
    static const std::vector<setting_spec> specs{
        {"entry", "instance_id", t::text, true, "", "Unique name of this instance."},
        {"entry", "failure_domain", t::text, true, "", "Failure domain of this instance."},
        {"entry", "listen", t::address, true, "", "Address for callers and operators."},
        {"entry", "advertise", t::text, false, "",
         "Address advertised to callers. Empty: the value of listen."},
        {"entry", "peer_listen", t::address, true, "", "Address for other entry instances."},
        {"entry", "traffic_threads", t::integer, false, "4",
         "Threads for caller and backend connections, 1 to 64."},
        {"entry", "operator_key_hash", t::text, false, "",
         "SHA-256 of the operator key. Empty: the operator endpoints are closed."},
        {"entry", "drain_limit", t::duration, false, "10m",
         "Maximum time that a drain waits for requests in progress."},
        {"entry", "drain_grace", t::duration, false, "10s",
         "Minimum time for which a draining instance stays up and refuses new requests."},
        {"entry", "address_lifetime", t::duration, false, "10s",
         "Time for which callers may cache the response of /v1/addresses."},
        {"entry", "max_connections", t::integer, false, "10000",
         "Maximum number of open caller connections."},
        {"entry", "max_body_bytes", t::integer, false, "8388608",
         "Maximum size of a request body, in bytes."},
        {"entry", "max_total_body_bytes", t::integer, false, "268435456",
         "Maximum total size of the bodies of all requests in progress, in bytes."},
        {"store", "addresses", t::addresses, true, "", "Addresses of the key-value service."},
        {"store", "timeout", t::duration, false, "2s", "Timeout of one call."},
        {"list", "address", t::address, true, "", "Address of the instance list."},
        {"list", "poll", t::duration, false, "1s", "Interval between reads of the list."},
        {"backend", "load_poll", t::duration, false, "500ms",
         "Interval between reads of a backend server's load report and cache events."},
        {"backend", "stream_silence", t::duration, false, "2s",
         "Time without an event or heartbeat after which a stream is resumed."},
        {"backend", "resume_window", t::duration, false, "10s",
         "Maximum time spent on resuming a stream."},
        {"backend", "connect_timeout", t::duration, false, "1s",
         "Timeout of one connection attempt."},
        {"placement", "lease", t::duration, false, "10s",
         "Lifetime of the placement lease. A new holder first waits this long plus order_margin."},
        {"placement", "order_margin", t::duration, false, "2s",
         "Orders are sent only while more than this is left of the lease. Maximum: lease / 2."},
        {"placement", "weight_mb_per_second", t::integer, false, "500",
         "Rate limit of the weight store, in MB/s."},
        {"tls", "certificate", t::text, false, "",
         "PEM file with the certificate for callers and operators. Empty: plain HTTP."},
        {"tls", "key", t::text, false, "", "PEM file with the private key of the certificate."},
        {"peer_tls", "certificate", t::text, false, "",
         "PEM file with the certificate for other entry instances. Its DNS names must contain the "
         "instance_id. Empty: plain TCP."},
        {"peer_tls", "key", t::text, false, "",
         "PEM file with the private key of the certificate."},
        {"peer_tls", "ca", t::text, false, "",
         "PEM file with the CA that issues the certificates of entry instances."},
        {"log", "level", t::text, false, "info",
         "Lowest level that is logged: debug, info, warning or error."},
    };
    return specs;
}

boost::leaf::result<entry_settings> load_entry_settings(const std::string& path)
{
    BOOST_LEAF_AUTO(values, load_settings(path, entry_setting_specs()));
    entry_settings out;
    out.instance_id = values.text("entry.instance_id");
    out.failure_domain = values.text("entry.failure_domain");
    out.listen = endpoint_of(values.text("entry.listen"));
    const auto advertised = values.text("entry.advertise");
    out.caller_address = advertised.empty() ? values.text("entry.listen") : advertised;
    out.peer_address = values.text("entry.peer_listen");
    out.traffic_threads = static_cast<int>(values.integer("entry.traffic_threads"));
    out.operator_key_hash = values.text("entry.operator_key_hash");
    out.drain_limit = values.duration("entry.drain_limit");
    out.drain_grace = values.duration("entry.drain_grace");
    out.address_lifetime = values.duration("entry.address_lifetime");
    out.max_connections = values.integer("entry.max_connections");
    out.max_body_bytes = values.integer("entry.max_body_bytes");
    out.max_total_body_bytes = values.integer("entry.max_total_body_bytes");
    for (const auto& it : values.list("store.addresses")) {
        out.store_addresses.push_back(endpoint_of(it));
    }
    out.store_timeout = values.duration("store.timeout");
    out.list_address = endpoint_of(values.text("list.address"));
    out.list_poll = values.duration("list.poll");
    out.load_poll = values.duration("backend.load_poll");
    out.stream_silence = values.duration("backend.stream_silence");
    out.resume_window = values.duration("backend.resume_window");
    out.connect_timeout = values.duration("backend.connect_timeout");
    out.placement_lease = values.duration("placement.lease");
    out.placement_order_margin = values.duration("placement.order_margin");
    out.weight_mb_per_second =
        static_cast<double>(values.integer("placement.weight_mb_per_second"));
    out.log_level = values.text("log.level");
    out.tls = {values.text("tls.certificate"), values.text("tls.key"), {}};
    out.peer_tls = {values.text("peer_tls.certificate"), values.text("peer_tls.key"),
                    values.text("peer_tls.ca")};
    if (out.traffic_threads < 1 || out.traffic_threads > 64) {
        return boost::leaf::new_error(
            parse_error{path, 0, "entry.traffic_threads", "must be between 1 and 64"});
    }
    if (out.placement_order_margin.count() < 1 ||
        out.placement_order_margin * 2 > out.placement_lease) {
        return boost::leaf::new_error(
            parse_error{path, 0, "placement.order_margin",
                        "must be positive and at most half of placement.lease"});
    }
    log_level level{};
    if (!parse_log_level(out.log_level, level)) {
        return boost::leaf::new_error(
            parse_error{path, 0, "log.level", "must be debug, info, warning or error"});
    }
    return out;
}

std::string load_credentials(entry_settings& settings, const clock_source& clock)
{
    const auto is_given = [](const tls_files& files) {
        return !(files.certificate + files.key + files.ca).empty();
    };
    std::string error;
    if (is_given(settings.tls)) {
        settings.credentials = load_tls_server(settings.tls, clock, error);
        if (!settings.credentials) {
            return "tls: " + error;
        }
    }
    if (is_given(settings.peer_tls)) {
        settings.peer_credentials = load_tls_peer(settings.peer_tls, clock, error);
        if (!settings.peer_credentials) {
            return "peer_tls: " + error;
        }
    }
    return {};
}

} // namespace almondline::entry
