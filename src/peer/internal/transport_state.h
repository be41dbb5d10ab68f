#pragma once

#include "peer/internal/connection.h"
#include "peer/peer_transport.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace almondline::peer {

/// State of peer_transport. Outlives it until the coroutines have ended.
class transport_state final : public connection_owner,
                              public std::enable_shared_from_this<transport_state> {
public:
    transport_state(boost::asio::io_context& io, const clock_source& clock, peer_settings settings,
                    address_lookup lookup, message_handler handler);

    virtual ~transport_state() = default;

    void start();
    void stop();
    void send(const std::string& instance_id, const wire::envelope& message);
    void tick();

    std::string receive(connection& from, std::string_view body) override;
    void note_closed(connection& closed, std::string_view reason) override;
    peer_counters& counters() override { return counters_; }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::size_t open_connections() const { return connections_.size(); }
    std::int64_t peer_incarnation(const std::string& instance_id) const;

private:
    /// The connection that frames to one instance are sent on.
    struct link {
        std::shared_ptr<connection> active; ///< may be null
        steady_time retry_at{};             ///< no connection attempt before this time
    };

    boost::asio::awaitable<void> accept_loop(std::shared_ptr<transport_state> self);
    boost::asio::awaitable<void> tick_loop(std::shared_ptr<transport_state> self);
    void accept(boost::asio::ip::tcp::socket socket);
    /// Starts to connect. Returns null and logs the reason if the address is not known or the
    /// connection limit is reached.
    std::shared_ptr<connection> connect_to(const std::string& instance_id);
    /// Moves the unsent frames of a closed connection to a new one.
    void replace(const std::string& instance_id, connection& old);
    /// Returns the reason to refuse the greeting, or an empty string.
    std::string check_greeting(connection& from, const wire::envelope& message);
    /// Makes the connection the one that frames to its peer are sent on.
    void activate(connection& fresh);
    void tick_connection(connection& target, steady_time now);
    queued_frame make_greeting() const;

    boost::asio::io_context& io_;
    const clock_source& clock_;
    const peer_settings settings_;
    address_lookup lookup_;
    message_handler handler_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    std::map<std::string, link> links_;
    std::set<std::shared_ptr<connection>> connections_;
    peer_counters counters_;
    bool is_stopping_ = false;
};

} // namespace almondline::peer
