#pragma once

#include "common/settings.h"
#include "tls/credentials.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace almondline::peer {

/// Must be raised when instances of the two versions can't communicate. New optional fields and new
/// kinds of messages don't require it.
constexpr std::int32_t protocol_version = 1;

struct peer_settings {
    std::string instance_id;
    std::int64_t incarnation = 0; ///< start time in ms since the epoch
    std::string failure_domain;
    ip_endpoint listen;
    std::size_t max_connections = 4096;
    std::size_t max_queued_messages = 1024;            ///< per connection
    std::size_t max_queued_bytes = 4 * 1024 * 1024;    ///< per connection
    std::chrono::milliseconds handshake_timeout{1000}; ///< connecting, TLS handshake and greeting
    std::chrono::milliseconds write_timeout{2000};     ///< for one frame
    std::chrono::milliseconds frame_timeout{5000}; ///< from the header to the last byte of a frame
    std::chrono::milliseconds unresponsive_timeout{2000}; ///< with nothing received after a message
    std::chrono::milliseconds keepalive_delay{500};       ///< before replying with an empty frame
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds reconnect_delay{200}; ///< after a failed connection attempt
    /// If zero, there is no timer and the owner must call peer_transport::tick, as tests do.
    std::chrono::milliseconds tick_interval{100};
    /// Credentials for mutual TLS, from load_tls_peer. The certificate of a peer must contain the
    /// instance id of its greeting as a DNS name. Null for plain TCP.
    std::shared_ptr<tls_credentials> credentials;
};

} // namespace almondline::peer
