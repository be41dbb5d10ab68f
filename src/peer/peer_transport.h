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

/// Returns "IP:PORT" of an instance's peer address, or an empty text if it is not known.
using address_lookup = std::function<std::string(const std::string& instance_id)>;
/// Receives each message except greetings. The instance id is the one that the peer announced.
using message_handler = std::function<void(const std::string& from, const wire::envelope&)>;

/// Connections to the other entry instances. Runs on the control thread only.
///
/// Connects when there is something to send. Both sides greet first; nothing else is sent before
/// the peer's greeting is checked. The receiver of a message that sends nothing itself answers with
/// an empty frame, so that a connection that went silent is told from a quiet one: it is replaced,
/// and the frames that were not yet written move to the new connection.
class peer_transport final : public peer_sender {
public:
    /// Listens at once. Throws boost::system::system_error if the address can't be bound.
    peer_transport(boost::asio::io_context& io, const clock_source& clock, peer_settings settings,
                   address_lookup lookup, message_handler handler);
    ~peer_transport() override;
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    void send(const std::string& instance_id, const wire::envelope& message) override;
    /// Enforces the timeouts. Called by a timer unless tick_interval is zero.
    void tick();

    /// Port that is bound, for an address with port 0.
    std::uint16_t port() const;
    const peer_counters& counters() const;
    std::size_t open_connections() const;
    /// Incarnation in the peer's last greeting, 0 if there is no connection.
    std::int64_t peer_incarnation(const std::string& instance_id) const;

private:
    std::shared_ptr<transport_state> state_;
};

} // namespace almondline::peer
