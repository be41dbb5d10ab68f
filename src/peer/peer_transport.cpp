#include "peer/peer_transport.h"

#include "peer/internal/transport_state.h"

namespace almondline::peer {

peer_transport::peer_transport(boost::asio::io_context& io, const clock_source& clock,
                               peer_settings settings, address_lookup lookup,
                               message_handler handler)
    : state_{std::make_shared<transport_state>(io, clock, std::move(settings), std::move(lookup),
                                               std::move(handler))}
{
    state_->start();
}

peer_transport::~peer_transport()
{
    state_->stop();
}

void peer_transport::send(const std::string& instance_id, const wire::envelope& message)
{
    state_->send(instance_id, message);
}

void peer_transport::tick()
{
    state_->tick();
}

std::uint16_t peer_transport::port() const
{
    return state_->port();
}

const peer_counters& peer_transport::counters() const
{
    return state_->counters();
}

std::size_t peer_transport::open_connections() const
{
    return state_->open_connections();
}

std::int64_t peer_transport::peer_incarnation(const std::string& instance_id) const
{
    return state_->peer_incarnation(instance_id);
}

} // namespace almondline::peer
