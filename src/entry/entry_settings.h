#pragma once

#include "common/settings.h"
#include "tls/credentials.h"

#include <chrono>
#include <string>
#include <vector>

namespace almondline::entry {

/// Settings of almondline-entry.
struct entry_settings {
    std::string instance_id;
    std::string failure_domain;
    ip_endpoint listen;
    std::string caller_address; ///< advertised to callers
    std::string peer_address;
    int traffic_threads = 4;
    std::string operator_key_hash;
    std::chrono::milliseconds drain_limit{0};
    std::chrono::milliseconds drain_grace{0};
    std::chrono::milliseconds address_lifetime{0};
    std::size_t max_connections = 0;
    std::size_t max_body_bytes = 0;
    std::size_t max_total_body_bytes = 0;
    std::vector<ip_endpoint> store_addresses;
    std::chrono::milliseconds store_timeout{0};
    ip_endpoint list_address;
    std::chrono::milliseconds list_poll{0};
    std::chrono::milliseconds load_poll{0};
    std::chrono::milliseconds stream_silence{0};
    std::chrono::milliseconds resume_window{0};
    std::chrono::milliseconds connect_timeout{0};
    std::chrono::milliseconds placement_lease{10'000};
    std::chrono::milliseconds placement_order_margin{2'000};
    double weight_mb_per_second = 500;
    std::string log_level;
    tls_files tls;                                ///< for callers and operators, empty: plain HTTP
    tls_files peer_tls;                           ///< between entry instances, empty: plain TCP
    std::shared_ptr<tls_credentials> credentials; ///< null: plain HTTP
    std::shared_ptr<tls_credentials> peer_credentials; ///< null: plain TCP
};

const std::vector<setting_spec>& entry_setting_specs();

/// Reads and validates the settings file. Errors carry a parse_error.
boost::leaf::result<entry_settings> load_entry_settings(const std::string& path);

/// Loads the TLS credentials for callers and for peers, if they are configured. Returns the error,
/// or an empty string on success. The clock must outlive the credentials.
std::string load_credentials(entry_settings& settings, const clock_source& clock);

} // namespace almondline::entry
