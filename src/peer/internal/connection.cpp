#include "peer/internal/connection.h"

#include "peer/frame.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace almondline::peer {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
// The body is read in steps, so that a header alone does not allocate the length that it declares.
// The smallest step holds several typical frames. It is small because each of hundreds of
// connections keeps a buffer.
constexpr std::size_t min_read_step_bytes = 2 * 1024;
constexpr std::size_t max_read_step_bytes = 64 * 1024;

} // namespace

connection::connection(tcp::socket socket, const clock_source& clock, const peer_settings& settings,
                       connection_owner& owner)
    : stream_{std::move(socket)}, writer_wakeup_{stream_.get_executor()}, clock_{clock},
      settings_{settings}, owner_{&owner}, opened_{clock.now()}, last_activity_{opened_}
{
    boost::system::error_code ec;
    const auto remote = stream_.lower().remote_endpoint(ec);
    if (!ec) {
        remote_address_ = remote.address().to_string() + ":" + std::to_string(remote.port());
    }
}

void connection::start()
{
    boost::system::error_code ec;
    stream_.lower().set_option(tcp::no_delay{true}, ec);
    const auto executor = stream_.get_executor();
    asio::co_spawn(executor, read_loop(shared_from_this()), asio::detached);
    asio::co_spawn(executor, write_loop(shared_from_this()), asio::detached);
}

void connection::accept(queued_frame greeting)
{
    greeting_ = std::move(greeting);
    asio::co_spawn(stream_.get_executor(), run_accepted(shared_from_this()), asio::detached);
}

void connection::connect(const tcp::endpoint& address, queued_frame greeting)
{
    remote_address_ = address.address().to_string() + ":" + std::to_string(address.port());
    greeting_ = std::move(greeting);
    asio::co_spawn(stream_.get_executor(), run_outgoing(shared_from_this(), address),
                   asio::detached);
}

asio::awaitable<void> connection::run_outgoing(std::shared_ptr<connection> /*self*/,
                                               tcp::endpoint address)
{
    const auto [ec] = co_await stream_.lower().async_connect(address, use_tuple);
    if (!is_open_) {
        co_return;
    }
    if (ec) {
        close("connect: " + ec.message());
        co_return;
    }
    const bool is_ready = co_await handshake(asio::ssl::stream_base::client);
    if (is_ready) {
        start();
    }
}

asio::awaitable<void> connection::run_accepted(std::shared_ptr<connection> /*self*/)
{
    const bool is_ready = co_await handshake(asio::ssl::stream_base::server);
    if (is_ready) {
        start();
    }
}

asio::awaitable<bool> connection::handshake(asio::ssl::stream_base::handshake_type side)
{
    if (!settings_.credentials) {
        co_return true;
    }
    // The certificate's name is checked when the greeting arrives with the instance id of the peer.
    const tls_internal::server_identity none;
    const auto error = co_await stream_.handshake(side, settings_.credentials, none);
    if (is_open_ && !error.empty()) {
        close(error);
    }
    co_return is_open_;
}

bool connection::may_claim_id(const std::string& instance_id) const
{
    return !settings_.credentials || stream_.is_named(instance_id);
}

asio::awaitable<void> connection::read_loop(std::shared_ptr<connection> /*self*/)
{
    while (is_open_) {
        const bool has_header = co_await receive_until(frame_header_bytes);
        if (!has_header) {
            close(received().empty() ? "closed by peer" : "truncated frame");
            co_return;
        }
        if (!is_open_) {
            co_return;
        }
        std::size_t body_bytes = 0;
        if (decode_header(received().substr(0, frame_header_bytes), body_bytes) !=
            frame_status::complete) {
            ++owner_->counters().bad_frames;
            close("frame of " + std::to_string(body_bytes) + " bytes is above the limit");
            co_return;
        }
        frame_started_ = clock_.now();
        const bool is_read = co_await receive_until(frame_header_bytes + body_bytes);
        frame_started_.reset();
        if (!is_read || !is_open_) {
            close("truncated frame");
            co_return;
        }
        handle_frame(received().substr(frame_header_bytes, body_bytes));
    }
}

void connection::handle_frame(std::string_view body)
{
    consumed_bytes_ += frame_header_bytes + body.size();
    last_activity_ = clock_.now();
    unanswered_since_.reset();
    if (!body.empty() && !reply_due_since_) {
        reply_due_since_ = last_activity_;
    }
    const auto reason = owner_->receive(*this, body);
    if (!reason.empty()) {
        close(reason);
    }
}

std::string_view connection::received() const
{
    return std::string_view{received_}.substr(consumed_bytes_);
}

/// Reads as much as is available, so that frames that arrive together take one system call.
asio::awaitable<bool> connection::receive_until(std::size_t bytes)
{
    if (received().size() >= bytes) {
        co_return true;
    }
    received_.erase(0, std::exchange(consumed_bytes_, 0));
    if (received_.empty() && received_.capacity() > max_read_step_bytes) {
        received_.shrink_to_fit();
    }
    while (received_.size() < bytes) {
        const auto start = received_.size();
        const auto step = std::clamp(bytes - start, min_read_step_bytes, max_read_step_bytes);
        received_.resize(start + step);
        const auto buf = asio::buffer(received_.data() + start, step);
        const auto [ec, n] = co_await stream_.async_read_some(buf, use_tuple);
        received_.resize(start + n);
        if (ec) {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<void> connection::write_loop(std::shared_ptr<connection> /*self*/)
{
    bool is_written = co_await write_frame(std::move(greeting_));
    while (is_written && is_open_) {
        if (!is_established_ || queued_frames() == 0) {
            writer_wakeup_.expires_at(asio::steady_timer::time_point::max());
            co_await writer_wakeup_.async_wait(use_tuple);
            continue;
        }
        auto& queue = next_queue();
        auto frame = std::move(queue.front());
        queue.pop_front();
        queued_bytes_ -= frame.bytes.size();
        is_written = co_await write_frame(std::move(frame));
    }
}

asio::awaitable<bool> connection::write_frame(queued_frame frame)
{
    const auto now = clock_.now();
    write_started_ = now;
    // Both are updated before the write because frames may arrive while it is in progress: one may
    // be the reply to this frame, and one may still need a reply if this frame was sent before it.
    reply_due_since_.reset();
    // The peer does not answer an empty frame.
    if (!unanswered_since_ && frame.bytes.size() > frame_header_bytes) {
        unanswered_since_ = now;
    }
    const auto buf = asio::buffer(frame.bytes);
    const auto [ec, n] = co_await asio::async_write(stream_, buf, use_tuple);
    write_started_.reset();
    if (!is_open_) {
        co_return false;
    }
    if (ec) {
        close("write: " + ec.message());
        co_return false;
    }
    auto& counter = owner_->counters().sent[static_cast<std::size_t>(frame.kind)];
    ++counter.messages;
    counter.bytes += n;
    last_activity_ = clock_.now();
    co_return true;
}

std::deque<queued_frame>& connection::queue_of(envelope_kind kind)
{
    return kind == envelope_kind::body ? bulk_queue_ : queue_;
}

std::deque<queued_frame>& connection::next_queue()
{
    return queue_.empty() ? bulk_queue_ : queue_;
}

void connection::enqueue(queued_frame frame)
{
    queued_bytes_ += frame.bytes.size();
    auto& queue = queue_of(frame.kind);
    queue.push_back(std::move(frame));
    while (queued_frames() > settings_.max_queued_messages ||
           (queued_bytes_ > settings_.max_queued_bytes && queued_frames() > 1)) {
        auto& dropped = bulk_queue_.empty() ? queue_ : bulk_queue_;
        queued_bytes_ -= dropped.front().bytes.size();
        dropped.pop_front();
        if (owner_ != nullptr) {
            ++owner_->counters().dropped_queue_full;
        }
    }
    writer_wakeup_.cancel();
}

void connection::establish(std::string peer_id, std::int64_t incarnation)
{
    peer_id_ = std::move(peer_id);
    incarnation_ = incarnation;
    is_established_ = true;
    writer_wakeup_.cancel();
}

void connection::close(std::string_view reason)
{
    if (!is_open_) {
        return;
    }
    auto* owner = owner_;
    detach();
    if (owner != nullptr) {
        owner->note_closed(*this, reason);
    }
}

void connection::detach()
{
    is_open_ = false;
    owner_ = nullptr;
    boost::system::error_code ec;
    stream_.lower().close(ec);
    writer_wakeup_.cancel();
}

std::deque<queued_frame> connection::remove_unsent()
{
    queued_bytes_ = 0;
    auto unsent = std::exchange(queue_, {});
    for (auto& it : std::exchange(bulk_queue_, {})) {
        unsent.push_back(std::move(it));
    }
    return unsent;
}

std::string_view connection::timeout_reason(steady_time now) const
{
    if (is_established_ && now - last_activity_ >= settings_.idle_timeout) {
        return "idle";
    }
    if (!is_established_ && now - opened_ >= settings_.handshake_timeout) {
        return "handshake timeout";
    }
    if (write_started_ && now - *write_started_ >= settings_.write_timeout) {
        return "write timeout";
    }
    if (frame_started_ && now - *frame_started_ >= settings_.frame_timeout) {
        return "frame timeout";
    }
    return {};
}

bool connection::is_unresponsive(steady_time now) const
{
    return is_established_ && unanswered_since_ &&
           now - *unanswered_since_ >= settings_.unresponsive_timeout;
}

void connection::send_keepalive_if_due(steady_time now)
{
    if (!is_established_ || !reply_due_since_ ||
        now - *reply_due_since_ < settings_.keepalive_delay || queued_frames() > 0) {
        return;
    }
    reply_due_since_.reset();
    queued_frame frame;
    encode_keepalive(frame.bytes);
    enqueue(std::move(frame));
}

} // namespace almondline::peer
