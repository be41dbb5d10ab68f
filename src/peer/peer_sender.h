#pragma once

#include <string>

namespace almondline {

namespace wire {
class envelope;
} // namespace wire

/// Sends messages to other entry instances. Used on the control thread.
class peer_sender {
public:
    virtual ~peer_sender() = default;
    /// Sends a message without a delivery guarantee: it may be dropped, but is never delivered
    /// twice. Messages stay in order only on the same connection.
    virtual void send(const std::string& instance_id, const wire::envelope& message) = 0;

protected:
    peer_sender() = default;
    peer_sender(const peer_sender&) = default;
    peer_sender& operator=(const peer_sender&) = default;
};

} // namespace almondline
