#pragma once

#include "peer/peer_sender.h"

#include <functional>
#include <string>

namespace almondline::granting {

/// Delivers messages for this instance directly to its own handler and sends all others to the
/// peers.
class message_router final : public peer_sender {
public:
    using message_handler = std::function<void(const std::string& from, const wire::envelope&)>;

    /// The handler is set separately, because the objects it calls usually need this router.
    message_router(std::string instance_id, peer_sender& peers)
        : instance_id_{std::move(instance_id)}, peers_{peers}
    {
    }

    void set_local_handler(message_handler handler) { local_ = std::move(handler); }

    void send(const std::string& instance_id, const wire::envelope& message) override
    {
        if (instance_id != instance_id_) {
            peers_.send(instance_id, message);
        }
        else if (local_) {
            local_(instance_id_, message);
        }
    }

private:
    std::string instance_id_;
    peer_sender& peers_;
    message_handler local_;
};

} // namespace almondline::granting
