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
    /// Part of the server's stated idle timeout for which a connection is used again. Later, the
    /// server may close it just as a request is sent.
    double idle_share = 0.6;
    /// For servers that state no timeout.
    std::chrono::milliseconds default_idle_timeout{250};
    /// Of call_pooled: idle connections are probed this often, also while a response is awaited. 0:
    /// never.
    std::chrono::seconds probe_interval{0};
};

/// Open connections without a request, by server. Used on one thread.
class connection_pool {
public:
    /// The clock must outlive the pool.
    connection_pool(const clock_source& clock, connection_pool_limits limits)
        : clock_{clock}, limits_{limits}
    {
    }

    /// The connection used last, if one is still fit for a request.
    std::optional<http_connection> take(const std::string& server);
    /// Keeps a connection whose last response is given, unless it can't be used again.
    void put(const std::string& server, http_connection connection, const http_response& last);
    /// Closes connections that were idle for too long. To be called about every second.
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
    std::unordered_map<std::string, std::deque<idle_connection>> idle_; ///< latest use last
    std::uint64_t reused_ = 0;
};

/// Sends one request over a connection of the pool or a new one, and reads the whole response of at
/// most max_body bytes. A request that may be repeated is sent once more, over a new connection, if
/// a kept connection turns out to be dead.
boost::asio::awaitable<http_result> call_pooled(connection_pool& pool, ip_endpoint address,
                                                http_request request, http_timeouts timeouts,
                                                std::size_t max_body, bool may_repeat);

} // namespace almondline
