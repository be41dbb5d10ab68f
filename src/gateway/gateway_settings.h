#pragma once

#include "common/settings.h"
#include "gateway/retry_window.h"
#include "scheduling/allowance.h"

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondline::gateway {

/// Validated settings of a gateway instance.
struct gateway_settings {
    std::string instance_name; ///< name of the machine; each process start appends a random id
    std::string failure_domain;
    ip_endpoint listen;
    ip_endpoint health_listen;
    ip_endpoint directory_listen;
    ip_endpoint metrics_listen;
    std::string peer_address;
    std::chrono::milliseconds address_lifetime{0};
    std::chrono::milliseconds stop_limit{0}; ///< from a stop signal until the process is killed
    std::uint64_t memory_mb = 0;
    double cores = 0;
    double link_mbps = 0; ///< bandwidth of the network link, in Mbit/s
    std::uint64_t max_descriptors = 0;
    ip_endpoint store_address;
    std::chrono::milliseconds store_timeout{0};
    std::chrono::milliseconds server_interval{0};
    std::chrono::milliseconds server_wait{0};
    std::chrono::milliseconds member_poll{0};
    std::chrono::milliseconds config_wait{0};
    retry_settings retries;
    scheduling::allowance_settings allowances;
    std::string log_level;
};

const std::vector<setting_spec>& gateway_setting_specs();

/// Reads and validates an INI file. Errors carry a parse_error.
boost::leaf::result<gateway_settings> load_gateway_settings(const std::string& path);

} // namespace almondline::gateway
