#pragma once

#include "common/settings.h"
#include "http/types/message.h"
#include "tls/credentials.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace almondline {

/// How far an HTTP call got. Determines whether the server may have processed the request.
enum class http_progress {
    not_connected, ///< no byte of the request was written
    sent,          ///< writing started, no complete response header was read
    answered,      ///< the response header was read, the body is incomplete
    complete
};

struct http_timeouts {
    std::chrono::milliseconds connect{1'000};
    std::chrono::milliseconds write{5'000};
    std::chrono::milliseconds read{5'000}; ///< for the header, and for each read of the body
};

/// How a client verifies a server over TLS. Without credentials it uses plain HTTP.
struct http_client_tls {
    std::shared_ptr<tls_credentials> credentials; ///< from load_tls_client
    /// DNS name expected in the server's certificate. Empty: the certificate must contain the IP
    /// address.
    std::string server_name;
};

/// Client connection that carries one request at a time. All calls must be made on its executor.
class http_connection {
public:
    explicit http_connection(boost::asio::any_io_executor executor);
    // Overloads instead of a default argument: GCC 12 would destroy it twice in a co_await
    // expression.
    http_connection(boost::asio::any_io_executor executor, http_client_tls tls);
    ~http_connection();
    http_connection(http_connection&&) noexcept;
    http_connection& operator=(http_connection&&) noexcept;

    /// Each returns an empty string, or the cause of the failure. The timeout of connect() includes
    /// the TLS handshake.
    boost::asio::awaitable<std::string> connect(ip_endpoint address,
                                                std::chrono::milliseconds timeout);
    boost::asio::awaitable<std::string> write_request(const http_request& request,
                                                      std::chrono::milliseconds timeout);
    /// Sends this body instead of the one in head, without a copy of it. All must outlive the call.
    boost::asio::awaitable<std::string> write_request(const http_request& head,
                                                      std::string_view body,
                                                      std::chrono::milliseconds timeout);
    /// Reads the next response header, which may be that of an interim response, and fills in
    /// status and headers. A status outside 100 to 599, a line that continues the one before it and
    /// a transfer coding other than a single "chunked" are failures.
    boost::asio::awaitable<std::string> read_header(http_response& response,
                                                    std::chrono::milliseconds timeout);
    /// Appends the next part of the body. Sets is_done at the end of the body; a connection that is
    /// closed before that is a failure. So is one that is reset, even if only write_request(),
    /// which must have returned, got the error.
    boost::asio::awaitable<std::string> read_some(std::string& body, bool& is_done,
                                                  std::chrono::milliseconds timeout);
    void close();

    /// Asks the server to keep the connection open after the next response. Off by default.
    void keep_alive(bool is_keep_alive);
    /// True if the last response was read to its end, the server keeps the connection open, and no
    /// byte has arrived since: bytes after a response belong to no request.
    bool is_reusable();
    /// True if the last response has neither a length nor chunks, so that only the end of the
    /// connection marks its end.
    bool is_ended_by_close() const;
    /// Aborts a write_request() in progress. No read may be in progress. The connection can't be
    /// used for another request.
    void stop_writing();
    /// Closes the connection if sent bytes stay unacknowledged for this time (TCP_USER_TIMEOUT), to
    /// detect a server that has become unreachable. Must be called after connect().
    void set_unacknowledged_timeout(std::chrono::milliseconds limit);
    /// Enables TCP keepalive probes at this interval while nothing is received; two unanswered
    /// probes close the connection. Must be called after connect().
    void enable_keepalive_probes(std::chrono::seconds interval);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Reads headers until one belongs to a final response, and fills in its status and headers.
/// Returns an empty string, or the cause of the failure; the response is empty then. The timeout is
/// that of each header.
boost::asio::awaitable<std::string> read_final_header(http_connection& connection,
                                                      http_response& response,
                                                      std::chrono::milliseconds timeout);

/// Reads the rest of a body of at most max_body bytes. Returns an empty string, or why the body is
/// not whole. The timeout is that of each read.
boost::asio::awaitable<std::string> read_body(http_connection& connection, std::string& body,
                                              std::size_t max_body,
                                              std::chrono::milliseconds timeout);

enum class probe_result {
    listening,
    refused, ///< the host answered that nothing listens at the address
    no_answer
};

/// Opens a connection to an address and closes it again, to find out whether a server listens.
boost::asio::awaitable<probe_result> probe_listener(ip_endpoint address,
                                                    std::chrono::milliseconds timeout);

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
/// Connections are not reused, so a request can't be lost on one that died unnoticed.
boost::asio::awaitable<http_result> call_http(ip_endpoint address, http_request request,
                                              http_timeouts timeouts,
                                              std::size_t max_body = 16 * 1024 * 1024);
boost::asio::awaitable<http_result> call_http(ip_endpoint address, http_request request,
                                              http_timeouts timeouts, std::size_t max_body,
                                              http_client_tls tls);

} // namespace almondline
