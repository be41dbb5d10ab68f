#include "peer/internal/transport_state.h"

#include "common/log.h"
#include "peer/frame.h"
#include "peer/wire.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <vector>

namespace almondline::peer {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds accept_retry_delay{50};

traffic_counter& counter_of(traffic_by_kind& counters, envelope_kind kind)
{
    return counters[static_cast<std::size_t>(kind)];
}

} // namespace

transport_state::transport_state(asio::io_context& io, const clock_source& clock,
                                 peer_settings settings, address_lookup lookup,
                                 message_handler handler)
    : io_{io}, clock_{clock}, settings_{std::move(settings)}, lookup_{std::move(lookup)},
      handler_{std::move(handler)}, acceptor_{io}, timer_{io}
{
    const tcp::endpoint endpoint{asio::ip::make_address(settings_.listen.host),
                                 settings_.listen.port};
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address{true});
    acceptor_.bind(endpoint);
    acceptor_.listen();
}

void transport_state::start()
{
    asio::co_spawn(io_, accept_loop(shared_from_this()), asio::detached);
    if (settings_.tick_interval.count() > 0) {
        asio::co_spawn(io_, tick_loop(shared_from_this()), asio::detached);
    }
}

void transport_state::stop()
{
    is_stopping_ = true;
    boost::system::error_code ec;
    acceptor_.close(ec);
    timer_.cancel();
    links_.clear();
    for (const auto& it : connections_) {
        it->detach();
    }
    connections_.clear();
}

asio::awaitable<void> transport_state::accept_loop(std::shared_ptr<transport_state> /*self*/)
{
    while (!is_stopping_) {
        auto [ec, socket] = co_await acceptor_.async_accept(use_tuple);
        if (is_stopping_) {
            co_return;
        }
        if (ec) {
            // Accepting again immediately would spin, for example when out of file descriptors.
            asio::steady_timer pause{io_, accept_retry_delay};
            co_await pause.async_wait(use_tuple);
            continue;
        }
        accept(std::move(socket));
    }
}

asio::awaitable<void> transport_state::tick_loop(std::shared_ptr<transport_state> /*self*/)
{
    while (!is_stopping_) {
        timer_.expires_after(settings_.tick_interval);
        co_await timer_.async_wait(use_tuple);
        tick();
    }
}

void transport_state::accept(tcp::socket socket)
{
    if (connections_.size() >= settings_.max_connections) {
        ++counters_.connections_refused;
        return;
    }
    const auto fresh = std::make_shared<connection>(std::move(socket), clock_, settings_, *this);
    connections_.insert(fresh);
    fresh->accept(make_greeting());
}

queued_frame transport_state::make_greeting() const
{
    wire::hello greeting;
    greeting.protocol_version = protocol_version;
    greeting.instance_id = settings_.instance_id;
    greeting.incarnation = settings_.incarnation;
    greeting.__set_failure_domain(settings_.failure_domain);
    wire::envelope message;
    message.__set_greeting(greeting);
    queued_frame frame;
    frame.kind = envelope_kind::greeting;
    encode_frame(message, frame.bytes);
    return frame;
}

void transport_state::send(const std::string& instance_id, const wire::envelope& message)
{
    queued_frame frame;
    frame.kind = kind_of(message);
    if (encode_frame(message, frame.bytes) != frame_status::complete) {
        ++counters_.dropped_too_large;
        log_event("peer", log_level::error, "message-too-large",
                  {{"to", instance_id}, {"kind", to_string(frame.kind)}});
        return;
    }
    auto& target = links_[instance_id];
    if (!target.active && clock_.now() >= target.retry_at) {
        target.active = connect_to(instance_id);
    }
    if (!target.active) {
        ++counters_.dropped_unreachable;
        return;
    }
    target.active->enqueue(std::move(frame));
}

std::shared_ptr<connection> transport_state::connect_to(const std::string& instance_id)
{
    const auto address = lookup_(instance_id);
    ip_endpoint endpoint;
    std::string_view reason;
    if (!parse_endpoint(address, endpoint)) {
        reason = "no address";
    }
    if (connections_.size() >= settings_.max_connections) {
        ++counters_.connections_refused;
        reason = "connection limit reached";
    }
    if (!reason.empty()) {
        links_[instance_id].retry_at = clock_.now() + settings_.reconnect_delay;
        log_event("peer", log_level::debug, "not-connecting",
                  {{"peer", instance_id}, {"address", address}, {"reason", reason}});
        return nullptr;
    }
    auto fresh = std::make_shared<connection>(tcp::socket{io_}, clock_, settings_, *this);
    fresh->expected_peer = instance_id;
    connections_.insert(fresh);
    fresh->connect({asio::ip::make_address(endpoint.host), endpoint.port}, make_greeting());
    return fresh;
}

std::string transport_state::receive(connection& from, std::string_view body)
{
    wire::envelope message;
    const auto status = decode_body(body, message);
    if (status == frame_status::malformed || status == frame_status::too_large) {
        ++counters_.bad_frames;
        return std::string{to_string(status)} + " frame of " + std::to_string(body.size()) +
               " bytes";
    }
    const auto kind = kind_of(message);
    auto& counter = counter_of(counters_.received, kind);
    ++counter.messages;
    counter.bytes += body.size() + frame_header_bytes;
    if (!from.is_established()) {
        return check_greeting(from, message);
    }
    if (status == frame_status::complete && kind != envelope_kind::greeting) {
        handler_(from.peer_id(), message);
    }
    return {};
}

std::string transport_state::check_greeting(connection& from, const wire::envelope& message)
{
    const auto& greeting = message.greeting;
    std::string reason;
    const auto known = peer_incarnation(greeting.instance_id);
    if (kind_of(message) != envelope_kind::greeting) {
        reason = "first message is not a greeting";
    }
    else if (greeting.protocol_version != protocol_version) {
        reason = "protocol version " + std::to_string(greeting.protocol_version) + ", expected " +
                 std::to_string(protocol_version);
    }
    else if (greeting.instance_id.empty() || greeting.instance_id == settings_.instance_id) {
        reason = "expected the id of another instance in the greeting, got \"" +
                 greeting.instance_id + "\"";
    }
    else if (!from.expected_peer.empty() && from.expected_peer != greeting.instance_id) {
        reason =
            "greeting from instance " + greeting.instance_id + ", expected " + from.expected_peer;
    }
    else if (!from.may_claim_id(greeting.instance_id)) {
        reason = "certificate does not contain instance id " + greeting.instance_id;
    }
    else if (greeting.incarnation < known) {
        reason = "incarnation " + std::to_string(greeting.incarnation) + " is older than " +
                 std::to_string(known);
    }
    if (!reason.empty()) {
        ++counters_.bad_greetings;
        return reason;
    }
    ++counters_.connections_opened;
    from.establish(greeting.instance_id, greeting.incarnation);
    activate(from);
    return {};
}

void transport_state::activate(connection& fresh)
{
    auto& target = links_[fresh.peer_id()];
    const auto old = std::exchange(target.active, fresh.shared_from_this());
    if (!old || old == target.active) {
        return;
    }
    for (auto& it : old->remove_unsent()) {
        fresh.enqueue(std::move(it));
    }
    // An older connection to the same process stays open for reading until it is idle. Closing it
    // could lose messages in transit, and each side could close the connection that the other uses.
    if (old->is_established() && old->incarnation() < fresh.incarnation()) {
        old->close("replaced by a newer incarnation");
    }
}

void transport_state::note_closed(connection& closed, std::string_view reason)
{
    const auto level =
        reason == "idle" || reason == "closed by peer" ? log_level::info : log_level::warning;
    const auto name = closed.peer_id().empty() ? closed.expected_peer : closed.peer_id();
    log_event("peer", level, "connection-closed",
              {{"peer", name}, {"address", closed.remote_address()}, {"reason", reason}});
    const auto self = closed.shared_from_this();
    connections_.erase(self);
    const auto it = links_.find(name);
    if (it == links_.end() || it->second.active != self) {
        return;
    }
    if (closed.is_established()) {
        replace(name, closed);
        return;
    }
    it->second.active.reset();
    it->second.retry_at = clock_.now() + settings_.reconnect_delay;
    counters_.dropped_unreachable += closed.remove_unsent().size();
}

void transport_state::replace(const std::string& instance_id, connection& old)
{
    auto& target = links_[instance_id];
    target.active.reset();
    auto unsent = old.remove_unsent();
    if (unsent.empty()) {
        return;
    }
    target.active = connect_to(instance_id);
    if (!target.active) {
        counters_.dropped_unreachable += unsent.size();
        return;
    }
    for (auto& it : unsent) {
        target.active->enqueue(std::move(it));
    }
}

void transport_state::tick()
{
    if (is_stopping_) {
        return;
    }
    const auto now = clock_.now();
    // Copied because closing a connection removes it from the set.
    const std::vector<std::shared_ptr<connection>> all{connections_.begin(), connections_.end()};
    for (const auto& it : all) {
        tick_connection(*it, now);
    }
    std::erase_if(links_,
                  [&](const auto& it) { return !it.second.active && it.second.retry_at <= now; });
}

void transport_state::tick_connection(connection& target, steady_time now)
{
    if (!target.is_open()) {
        return;
    }
    const auto reason = target.timeout_reason(now);
    if (!reason.empty()) {
        counters_.timeouts += reason != "idle" ? 1 : 0;
        target.close(reason);
        return;
    }
    if (target.is_unresponsive(now)) {
        ++counters_.replaced_unresponsive;
        target.close("silent");
        return;
    }
    target.send_keepalive_if_due(now);
}

std::int64_t transport_state::peer_incarnation(const std::string& instance_id) const
{
    const auto it = links_.find(instance_id);
    return it != links_.end() && it->second.active ? it->second.active->incarnation() : 0;
}

} // namespace almondline::peer
