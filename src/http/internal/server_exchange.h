#pragma once

#include "http/server.h"
#include "tls/internal/optional_tls_stream.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almondline::http_internal {

using http_stream = tls_internal::optional_tls_stream<boost::beast::tcp_stream>;

/// A request that a connection of the server received, and its response. All references must
/// outlive the exchange.
class server_exchange final : public http_exchange {
public:
    /// buf holds the bytes that were read after the request.
    server_exchange(http_stream& stream, boost::beast::flat_buffer& buf, http_request request,
                    bool keep_alive, const http_server_limits& limits);

    const http_request& request() const override { return request_; }
    std::string take_body() override { return std::exchange(request_.body, {}); }
    boost::asio::awaitable<bool> reply(http_response response) override;
    boost::asio::awaitable<bool> start_stream(int status,
                                              std::vector<http_header> headers) override;
    boost::asio::awaitable<bool> write_chunk(std::string_view data) override;
    boost::asio::awaitable<bool> end_stream() override;
    boost::asio::awaitable<void> wait_closed() override;
    void abort() override;
    void close_after_response() override { is_closing_ = true; }
    std::string remote_address() const override;

    bool is_answered() const { return is_answered_; }
    /// True if the whole response was sent.
    bool is_complete() const { return is_open_ && is_answered_ && !is_streaming_; }
    /// True if the connection can carry another request.
    bool can_continue() const { return is_complete() && keep_alive_; }

private:
    /// Decides whether the connection stays open. A caller that has sent its next request already
    /// gets a response to it before the connection is closed.
    void decide_keep_alive();
    /// The caller of a HEAD request would take a body for the next response.
    bool has_body() const { return request_.method != "HEAD"; }
    bool update_is_open(const boost::system::error_code& ec);
    /// At TCP level, the end of a TLS stream looks like data, so this reads the stream. Stores the
    /// bytes of a pipelined request for later; returns false at the end of the stream.
    boost::asio::awaitable<bool> read_ahead();
    boost::asio::awaitable<void> wait_forever();

    http_stream& stream_;
    boost::beast::flat_buffer& buf_; ///< bytes after the request
    http_request request_;
    bool keep_alive_;         ///< the connection stays open after the response
    bool is_closing_ = false; ///< it is to be closed once no further request has been received
    const http_server_limits& limits_;
    bool is_open_ = true;
    bool is_answered_ = false;
    bool is_streaming_ = false;
};

} // namespace almondline::http_internal
