#pragma once

#include "tls/internal/tls_credentials.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace almondline::tls_internal {

/// Identity that the certificate of a server must contain. Empty: not checked.
struct server_identity {
    std::string ip;
    std::string name; ///< DNS name, also sent to the server; takes precedence over the IP address
};

/// Sets the identity to verify in the handshake of a connection. Returns false if it is malformed.
bool set_identity(SSL* connection, const server_identity& identity);

/// Error text for a failed handshake: the verification error of the certificate, if there is one.
std::string describe_failure(const SSL* connection, const boost::system::error_code& ec);

/// True if the certificate of the other side has exactly this DNS name.
bool has_certificate_name(const SSL* connection, const std::string& name);

/// TCP stream with optional TLS. To be included only by source files, because OpenSSL's and Asio's
/// headers are slow to compile. Can't be copied or moved: the TLS stream refers to the lower one.
template <class Lower>
class optional_tls_stream {
public:
    using executor_type = typename Lower::executor_type;
    using secure_stream = boost::asio::ssl::stream<Lower&>;
    using handshake_type = boost::asio::ssl::stream_base::handshake_type;

    explicit optional_tls_stream(Lower lower) : lower_{std::move(lower)} {}
    optional_tls_stream(const optional_tls_stream&) = delete;
    optional_tls_stream& operator=(const optional_tls_stream&) = delete;

    executor_type get_executor() noexcept { return lower_.get_executor(); }
    Lower& lower() { return lower_; }
    const Lower& lower() const { return lower_; }
    bool is_tls() const { return secure_.has_value(); }

    template <class Buffers, class Token>
    auto async_read_some(const Buffers& buffers, Token&& token)
    {
        return secure_ ? secure_->async_read_some(buffers, std::forward<Token>(token))
                       : lower_.async_read_some(buffers, std::forward<Token>(token));
    }

    template <class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token)
    {
        return secure_ ? secure_->async_write_some(buffers, std::forward<Token>(token))
                       : lower_.async_write_some(buffers, std::forward<Token>(token));
    }

    /// Returns an empty string or the cause of the failure. The caller must set a timeout.
    boost::asio::awaitable<std::string> handshake(handshake_type side,
                                                  std::shared_ptr<tls_credentials> credentials,
                                                  const server_identity& identity)
    {
        context_ = credentials->current();
        secure_.emplace(lower_, *context_);
        if (!set_identity(secure_->native_handle(), identity)) {
            co_return "TLS: \"" + identity.ip + identity.name +
                "\" is neither a DNS name nor an IP address";
        }
        const auto [ec] = co_await secure_->async_handshake(
            side, boost::asio::as_tuple(boost::asio::use_awaitable));
        co_return ec ? describe_failure(secure_->native_handle(), ec) : std::string{};
    }

    /// Sends close_notify, so that the other side does not treat the end of the stream as
    /// truncation.
    boost::asio::awaitable<void> shutdown_tls()
    {
        if (secure_) {
            co_await secure_->async_shutdown(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
    }

    /// True if the connection uses TLS and the other side's certificate has exactly this DNS name.
    bool is_named(const std::string& name) const
    {
        return secure_ &&
               has_certificate_name(const_cast<secure_stream&>(*secure_).native_handle(), name);
    }

private:
    Lower lower_;
    tls_credentials::context_ptr context_; ///< must outlive the stream
    std::optional<secure_stream> secure_;
};

} // namespace almondline::tls_internal
