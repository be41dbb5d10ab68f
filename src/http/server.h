#pragma once

#include "common/settings.h"
#include "http/types/message.h"
#include "tls/credentials.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondline {

struct http_server_limits {
    std::size_t max_connections = 10'000;
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 8 * 1024 * 1024;
    /// Bodies of all requests in progress together. Without this limit, many callers that each stay
    /// within max_body_bytes could exhaust the memory.
    std::uint64_t max_total_body_bytes = 256 * 1024 * 1024;
    /// Bytes of the total that are reserved for a body without a Content-Length before it is read.
    /// The reservation grows with the body.
    std::uint64_t unannounced_body_bytes = 8 * 1024 * 1024;
    std::chrono::milliseconds header_timeout{30'000}; ///< for a header, from its first byte
    std::chrono::milliseconds read_timeout{30'000};   ///< for the body of one request
    std::chrono::milliseconds idle_timeout{60'000};   ///< until the first byte of a request
    std::chrono::milliseconds write_timeout{10'000};  ///< for one write; disconnects slow readers
    /// After a last response, input is read and dropped for at most this long, until the caller has
    /// read the response and closes the connection.
    std::chrono::milliseconds linger_timeout{1'000};
    std::chrono::milliseconds handshake_timeout{5'000}; ///< for the whole TLS handshake
};

/// One request and its response. Each write returns false if the connection is closed.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    virtual const http_request& request() const = 0;
    /// Moves the body out of request(), to avoid a copy of a long one.
    virtual std::string take_body() = 0;
    /// Sends the whole response. Exactly one of reply and start_stream may be called, once.
    virtual boost::asio::awaitable<bool> reply(http_response response) = 0;
    /// Sends the header of a chunked response.
    virtual boost::asio::awaitable<bool> start_stream(int status,
                                                      std::vector<http_header> headers) = 0;
    virtual boost::asio::awaitable<bool> write_chunk(std::string_view data) = 0;
    virtual boost::asio::awaitable<bool> end_stream() = 0;
    /// Returns when the caller has closed the connection. Meant to run in parallel with other work
    /// that is cancelled then.
    virtual boost::asio::awaitable<void> wait_closed() = 0;
    /// Closes the connection without ending the response, so that the caller sees that it is
    /// truncated.
    virtual void abort() = 0;
    /// Closes the connection after the response and announces this in its header. Must be called
    /// before the response starts.
    virtual void close_after_response() = 0;
    virtual std::string remote_address() const = 0;

protected:
    http_exchange() = default;
    http_exchange(const http_exchange&) = default;
    http_exchange& operator=(const http_exchange&) = default;
};

using http_handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;

/// HTTP/1.1 server, over TLS if it has credentials. Each connection runs on a strand of the
/// io_context, which may have many threads.
class http_server {
public:
    /// Starts listening. Throws boost::system::system_error if the address can't be bound.
    http_server(boost::asio::io_context& io, const ip_endpoint& address, http_server_limits limits,
                http_handler handler, std::shared_ptr<tls_credentials> tls = nullptr);
    ~http_server();

    /// Bound port; differs from the requested one if that was 0.
    std::uint16_t port() const;
    /// Replaces the limits, starting with the next request of each connection. Idle connections may
    /// wait longer at once, but not shorter than the limit at the start of their wait. Thread-safe.
    void set_limits(const http_server_limits& limits);
    /// Stops accepting connections; open ones are closed after their next response. Thread-safe.
    void stop_accepting();
    /// Refuses the requests whose bodies have not arrived completely, with 503 as not run. Requests
    /// that arrive later are read as usual. Thread-safe.
    void refuse_incomplete_requests();
    /// Requests that are being handled. Thread-safe.
    std::size_t requests_in_progress() const;
    /// Connections that were closed after their last response, which the caller may not have read
    /// yet. Thread-safe.
    std::size_t closing_connections() const;
    std::size_t open_connections() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace almondline
