#pragma once

#include "common/clock.h"
#include "peer/peer_sender.h"
#include "peer/types/peer_counters.h"
#include "peer/types/peer_settings.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace almondline::peer {

class transport_state;

/// Returns the peer address of an instance as "IP:PORT", or an empty string if it is unknown.
using address_lookup = std::function<std::string(const std::string& instance_id)>;
/// Called for each received message except greetings, with the instance id from the peer's
/// greeting.
using message_handler = std::function<void(const std::string& from, const wire::envelope&)>;

/// Connections to the other entry instances. Runs on the control thread only.
///
/// Connects when there is a message to send. Both sides first send a greeting, and nothing else
/// until they have checked the peer's greeting. A receiver that has no message to send replies with
/// an empty frame. A connection on which neither arrives in time is therefore broken and is closed.
/// If it has unsent frames, they move to a new connection.
class peer_transport final : public peer_sender {
public:
    /// Starts to listen immediately. Throws boost::system::system_error if the address can't be
    /// bound.
    peer_transport(boost::asio::io_context& io, const clock_source& clock, peer_settings settings,
                   address_lookup lookup, message_handler handler);
    ~peer_transport() override;
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    void send(const std::string& instance_id, const wire::envelope& message) override;
    /// Enforces the timeouts and sends keepalives. Called by a timer unless tick_interval is zero.
    void tick();

    /// Returns the port that is bound. Differs from the configured one if that is 0.
    std::uint16_t port() const;
    const peer_counters& counters() const;
    std::size_t open_connections() const;
    /// Returns the incarnation from the peer's greeting, or 0 if there is no connection to it.
    std::int64_t peer_incarnation(const std::string& instance_id) const;

private:
    std::shared_ptr<transport_state> state_;
};

} // namespace almondline::peer
