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

/// Interface through which connections call the transport that owns them.
class connection_owner {
public:
    /// Handles a received body. Returns the reason to close the connection, or an empty string.
    virtual std::string receive(connection& from, std::string_view body) = 0;
    /// Called once, after the socket has been closed.
    virtual void note_closed(connection& closed, std::string_view reason) = 0;
    virtual peer_counters& counters() = 0;

protected:
    connection_owner() = default;
    ~connection_owner() = default;
    connection_owner(const connection_owner&) = default;
    connection_owner& operator=(const connection_owner&) = default;
};

/// A TCP connection, optionally with TLS, and its send queue. Does not interpret messages.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::ip::tcp::socket socket, const clock_source& clock,
               const peer_settings& settings, connection_owner& owner);

    /// Performs the TLS handshake, if credentials are set, on an accepted socket, then sends the
    /// greeting and starts to read.
    void accept(queued_frame greeting);
    /// Connects to the address, then does the same.
    void connect(const boost::asio::ip::tcp::endpoint& address, queued_frame greeting);
    /// Queues a frame. Parts of manifests are written after all other frames, so that probes and
    /// credits don't wait behind them. If the queue is full, the oldest parts are dropped and
    /// counted, then the oldest other frames.
    void enqueue(queued_frame frame);
    /// Starts to write queued frames. Called when the peer's greeting has been checked.
    void establish(std::string peer_id, std::int64_t incarnation);
    /// Closes the socket and notifies the owner.
    void close(std::string_view reason);
    /// Closes the socket without notifying the owner.
    void detach();
    /// Removes and returns the queued frames that have not been written to the socket.
    std::deque<queued_frame> remove_unsent();

    /// Returns the timeout that has passed, as the reason to close, or an empty string.
    std::string_view timeout_reason(steady_time now) const;
    /// Returns true if a message was sent and nothing was received for the silence timeout.
    bool is_unresponsive(steady_time now) const;
    /// Queues an empty frame if the peer has waited for a reply for the keepalive delay.
    void send_keepalive_if_due(steady_time now);

    /// Returns whether the peer may use this instance id: its certificate must contain the id.
    /// Always true without TLS.
    bool may_claim_id(const std::string& instance_id) const;

    bool is_open() const { return is_open_; }
    bool is_established() const { return is_established_; }
    const std::string& peer_id() const { return peer_id_; }
    std::int64_t incarnation() const { return incarnation_; }
    std::string remote_address() const { return remote_address_; }

    std::string expected_peer; ///< instance to connect to, empty for an accepted connection

private:
    // The coroutines take the owning pointer as a parameter: a member function's frame holds only
    // `this`, and a spawned coroutine starts after the caller may have dropped the connection.
    boost::asio::awaitable<void> run_accepted(std::shared_ptr<connection> self);
    boost::asio::awaitable<void> run_outgoing(std::shared_ptr<connection> self,
                                              boost::asio::ip::tcp::endpoint address);
    /// Returns false if it closed the connection.
    boost::asio::awaitable<bool> handshake(boost::asio::ssl::stream_base::handshake_type side);
    void start();
    boost::asio::awaitable<void> read_loop(std::shared_ptr<connection> self);
    /// Reads until this many unconsumed bytes are available. Returns false if reading failed.
    boost::asio::awaitable<bool> receive_until(std::size_t bytes);
    /// Returns the bytes that were received and not consumed.
    std::string_view received() const;
    void handle_frame(std::string_view body);
    boost::asio::awaitable<void> write_loop(std::shared_ptr<connection> self);
    boost::asio::awaitable<bool> write_frame(queued_frame frame);

    tls_internal::optional_tls_stream<boost::asio::ip::tcp::socket> stream_;
    boost::asio::steady_timer writer_wakeup_;
    const clock_source& clock_;
    const peer_settings settings_;
    connection_owner* owner_;
    // A member because GCC 12 corrupted it when it was a parameter of run_accepted's coroutine.
    queued_frame greeting_;
    std::deque<queued_frame>& queue_of(envelope_kind kind);
    std::deque<queued_frame>& next_queue();
    std::size_t queued_frames() const { return queue_.size() + bulk_queue_.size(); }

    std::deque<queued_frame> queue_;
    std::deque<queued_frame> bulk_queue_; ///< parts of manifests
    std::size_t queued_bytes_ = 0;        ///< in both queues
    std::string received_;
    std::size_t consumed_bytes_ = 0; ///< at the start of received_
    std::string remote_address_;
    std::string peer_id_;
    std::int64_t incarnation_ = 0;
    bool is_open_ = true;
    bool is_established_ = false;
    steady_time opened_;
    steady_time last_activity_;
    std::optional<steady_time> write_started_;
    std::optional<steady_time> frame_started_;
    std::optional<steady_time> unanswered_since_; ///< first message written after the last read
    std::optional<steady_time> reply_due_since_;  ///< first message received after the last write
};

} // namespace almondline::peer
