#pragma once

#include "common/clock.h"
#include "peer/envelope_kind.h"
#include "peer/types/peer_counters.h"
#include "peer/types/peer_settings.h"
#include "tls/internal/optional_tls_stream.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace almondline::peer {

class connection;

struct queued_frame {
    std::string bytes;
    envelope_kind kind = envelope_kind::none;
};

/// Owner of connections: the transport.
class connection_owner {
public:
    /// Called for each received body. Returns the reason to close the connection, or an empty text.
    virtual std::string receive(connection& from, std::string_view body) = 0;
    /// Called once, after the socket was closed.
    virtual void note_closed(connection& which, std::string_view reason) = 0;
    virtual peer_counters& counters() = 0;

protected:
    connection_owner() = default;
    ~connection_owner() = default;
    connection_owner(const connection_owner&) = default;
    connection_owner& operator=(const connection_owner&) = default;
};

/// One TCP connection with its send queue. Does not interpret messages.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::ip::tcp::socket socket, const clock_source& clock,
               const peer_settings& settings, connection_owner& owner);

    /// Makes the TLS handshake, if there is one, then greets and reads on an accepted socket.
    void accept(queued_frame greeting);
    /// Connects, then does the same.
    void connect(const boost::asio::ip::tcp::endpoint& address, queued_frame greeting);
    /// Queues a frame. If the queue is full, its oldest frames are dropped and counted.
    void enqueue(queued_frame frame);
    /// Lets queued frames be written, once the peer's greeting has been checked.
    void establish(std::string peer_id, std::int64_t incarnation);
    void close(std::string_view reason);
    /// Closes without a call to the owner.
    void detach();
    /// Removes the frames that were not yet handed to the socket.
    std::deque<queued_frame> take_unsent();

    /// Reason to close because of a timeout, or an empty text.
    std::string_view overdue(steady_time now) const;
    /// True if something was sent and nothing received for the silence timeout.
    bool is_silent(steady_time now) const;
    /// Sends an empty frame if the peer waits for a sign of life.
    void keep_alive(steady_time now);

    /// True without TLS, and if the certificate of the peer has this name.
    bool may_be(const std::string& instance_id) const;

    bool is_open() const { return is_open_; }
    bool is_established() const { return is_established_; }
    const std::string& peer_id() const { return peer_id_; }
    std::int64_t incarnation() const { return incarnation_; }
    std::string remote_address() const { return remote_address_; }

    std::string expected_peer; ///< instance that was connected to, empty for an accepted connection

private:
    // The coroutines take the owning pointer as a parameter: a member function's frame holds only
    // `this`, and a spawned coroutine starts after the caller may have dropped the connection.
    boost::asio::awaitable<void> run_accepted(std::shared_ptr<connection> self);
    boost::asio::awaitable<void> run_outgoing(std::shared_ptr<connection> self,
                                              boost::asio::ip::tcp::endpoint address);
    /// Returns false after it closed the connection.
    boost::asio::awaitable<bool> handshake(boost::asio::ssl::stream_base::handshake_type side);
    void start();
    boost::asio::awaitable<void> read_loop(std::shared_ptr<connection> self);
    /// Reads until this many bytes are received and not taken. Returns false if reading failed.
    boost::asio::awaitable<bool> receive_until(std::size_t bytes);
    /// Bytes that were received and not taken.
    std::string_view received() const;
    void take_frame(std::string_view body);
    boost::asio::awaitable<void> write_loop(std::shared_ptr<connection> self);
    boost::asio::awaitable<bool> write_frame(queued_frame frame);

    tls_internal::optional_tls_stream<boost::asio::ip::tcp::socket> stream_;
    boost::asio::steady_timer writer_wakeup_;
    const clock_source& clock_;
    const peer_settings settings_;
    connection_owner* owner_;
    // A member, because GCC 12 garbled it as a parameter of run_accepted's coroutine.
    queued_frame greeting_;
    std::deque<queued_frame> queue_;
    std::size_t queued_bytes_ = 0;
    std::string received_;
    std::size_t taken_bytes_ = 0; ///< at the begin of received_
    std::string remote_address_;
    std::string peer_id_;
    std::int64_t incarnation_ = 0;
    bool is_open_ = true;
    bool is_established_ = false;
    steady_time opened_;
    steady_time last_activity_;
    std::optional<steady_time> write_started_;
    std::optional<steady_time> frame_started_;
    std::optional<steady_time> unanswered_since_; ///< first write after the last read
    std::optional<steady_time> reply_due_since_;  ///< first message after the last write
};

} // namespace almondline::peer
