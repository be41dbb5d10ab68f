#pragma once

#include "common/settings.h"
#include "http/types/message.h"
#include "tls/credentials.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace almondline {

/// How far an HTTP call came. Decides whether the other side may have run it.
enum class http_progress {
    not_connected, ///< no byte of the request was written
    sent,          ///< writing began, no complete response header was read
    answered,      ///< the response header was read, the body is incomplete
    complete
};

struct http_timeouts {
    std::chrono::milliseconds connect{1'000};
    std::chrono::milliseconds write{5'000};
    std::chrono::milliseconds read{5'000}; ///< for the header, and for each part of the body
};

/// How a client checks a server over TLS. Without credentials it speaks plain HTTP.
struct http_client_tls {
    std::shared_ptr<tls_credentials> credentials; ///< from load_tls_client
    /// DNS name in the certificate of the server. Empty: it must name the IP address.
    std::string server_name;
};

/// One client connection for one request. All calls belong on its executor.
class http_connection {
public:
    explicit http_connection(boost::asio::any_io_executor executor);
    // Overloads instead of a default argument: GCC 12 would destroy it twice in a co_await
    // expression.
    http_connection(boost::asio::any_io_executor executor, http_client_tls tls);
    ~http_connection();
    http_connection(http_connection&&) noexcept;
    http_connection& operator=(http_connection&&) noexcept;

    /// Each returns an empty text, or the cause of the failure. The timeout of connect covers the
    /// TLS handshake.
    boost::asio::awaitable<std::string> connect(ip_endpoint address,
                                                std::chrono::milliseconds timeout);
    boost::asio::awaitable<std::string> write_request(const http_request& request,
                                                      std::chrono::milliseconds timeout);
    /// Fills in status and headers.
    boost::asio::awaitable<std::string> read_header(http_response& response,
                                                    std::chrono::milliseconds timeout);
    /// Appends the next part of the body. Sets is_done after the last one; a connection that closes
    /// before the end of the body is a failure.
    boost::asio::awaitable<std::string> read_some(std::string& body, bool& is_done,
                                                  std::chrono::milliseconds timeout);
    void close();

    /// Asks the server to keep the connection open after the next response. Off by default.
    void keep_alive(bool is_kept);
    /// True if the last response was read to its end, the server keeps the connection open, and no
    /// byte arrived since: bytes after a response belong to no request.
    bool is_reusable();
    /// Ends a write_request in progress. The connection can't be used for another request.
    void stop_writing();
    /// Unacknowledged bytes end the connection after this time, so that one that went silent is
    /// noticed. To be called after connect().
    void set_silence_limit(std::chrono::milliseconds limit);
    /// Probes the connection while nothing is received, and ends it after two probes without an
    /// answer. To be called after connect().
    void probe_when_idle(std::chrono::seconds interval);

private:
    struct state;
    std::unique_ptr<state> state_;
};

struct http_result {
    http_progress progress = http_progress::not_connected;
    http_response response;
    std::string message; ///< cause of a failure
};

/// Sends one request over an open connection and reads the whole response, of at most max_body
/// bytes. The connection and the request must outlive the call.
boost::asio::awaitable<http_result> call_on_connection(http_connection& connection,
                                                       const http_request& request,
                                                       http_timeouts timeouts,
                                                       std::size_t max_body);

/// Sends one request on a new connection and reads the whole response, of at most max_body bytes.
/// A new connection each time: one that went silent unnoticed can't swallow a request.
boost::asio::awaitable<http_result> call_http(ip_endpoint address, http_request request,
                                              http_timeouts timeouts,
                                              std::size_t max_body = 16 * 1024 * 1024);
boost::asio::awaitable<http_result> call_http(ip_endpoint address, http_request request,
                                              http_timeouts timeouts, std::size_t max_body,
                                              http_client_tls tls);

} // namespace almondline
