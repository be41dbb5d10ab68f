#pragma once

#include "common/settings.h"
#include "tls/credentials.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace almondline::peer {

/// Raised when instances of both versions can no longer understand each other. New optional fields
/// and new kinds of message don't raise it.
constexpr std::int32_t protocol_version = 1;

struct peer_settings {
    std::string instance_id;
    std::int64_t incarnation = 0; ///< start time in ms since the epoch
    std::string failure_domain;
    ip_endpoint listen;
    std::size_t max_connections = 4096;
    std::size_t max_queued_messages = 1024;            ///< per connection
    std::size_t max_queued_bytes = 4 * 1024 * 1024;    ///< per connection
    std::chrono::milliseconds handshake_timeout{1000}; ///< connect, TLS handshake and greeting
    std::chrono::milliseconds write_timeout{2000};     ///< for one frame
    std::chrono::milliseconds frame_timeout{5000};     ///< from the first byte to the last
    std::chrono::milliseconds silence_timeout{2000};   ///< nothing received since a send
    std::chrono::milliseconds keepalive_delay{500}; ///< by when the receiver of a message answers
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds reconnect_delay{200}; ///< after a failed connect
    /// Zero: the owner calls peer_transport::tick, as tests do.
    std::chrono::milliseconds tick_interval{100};
    /// For mutual TLS, from load_tls_peer. The certificate of a peer must have the instance id of
    /// its greeting among its DNS names. Null: plain TCP.
    std::shared_ptr<tls_credentials> credentials;
};

} // namespace almondline::peer
