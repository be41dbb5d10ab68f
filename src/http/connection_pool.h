#pragma once

#include "common/clock.h"
#include "http/client.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace almondline {

struct connection_pool_limits {
    std::size_t max_idle_per_server = 24;
    /// Fraction of the idle timeout in the server's Keep-Alive header for which a connection is
    /// reused. After that, the server may close it just as a request is sent.
    double idle_timeout_fraction = 0.6;
    /// For servers that announce no timeout.
    std::chrono::milliseconds default_idle_timeout{250};
    /// Interval of TCP keepalive probes on the connections of call_pooled(), also while a response
    /// is awaited. 0: no probes.
    std::chrono::seconds probe_interval{0};
};

/// Idle connections by server. Not thread-safe.
class connection_pool {
public:
    /// The clock must outlive the pool.
    connection_pool(const clock_source& clock, connection_pool_limits limits)
        : clock_{clock}, limits_{limits}
    {
    }

    /// Removes and returns the most recently used connection that is still usable, if any.
    std::optional<http_connection> take(const std::string& server);
    /// Adds a connection unless it can't be reused. `last` is the last response on it.
    void put(const std::string& server, http_connection connection, const http_response& last);
    /// Closes connections that have been idle for too long. Should be called about every second.
    void prune();
    /// Closes all connections to a server.
    void close_all(const std::string& server) { idle_.erase(server); }

    const connection_pool_limits& limits() const { return limits_; }
    std::size_t size() const;
    std::uint64_t reused() const { return reused_; }

private:
    struct idle_connection {
        http_connection connection;
        steady_time use_until{};
    };

    const clock_source& clock_;
    connection_pool_limits limits_;
    std::unordered_map<std::string, std::deque<idle_connection>> idle_; ///< most recently used last
    std::uint64_t reused_ = 0;
};

/// Sends one request over a pooled or new connection and reads the whole response, of at most
/// max_body bytes. If a pooled connection fails, the request is retried once over a new connection,
/// provided that may_retry is true.
boost::asio::awaitable<http_result> call_pooled(connection_pool& pool, ip_endpoint address,
                                                http_request request, http_timeouts timeouts,
                                                std::size_t max_body, bool may_retry);

} // namespace almondline
