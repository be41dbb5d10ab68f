#pragma once

#include "placement/types/placement.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace almondline::placement {

/// Order to an engine: drain, load a model or serve. Declarative: it states the wanted result, so
/// repeating it changes nothing.
struct placement_order {
    std::string replica_id;
    std::string address;
    order_kind kind = order_kind::serve;
    std::string model;
    std::string replaces; ///< load: model to unload first, empty if none
    /// No byte may be sent after this time. Computed when the lease was checked.
    steady_time send_until{};
    std::uint64_t fencing = 0;      ///< fencing token: revision of the holder's lease record
    std::uint64_t plan_version = 0; ///< increases with each order of a holder
};

enum class order_status {
    done,
    stale,  ///< the engine has seen a higher fencing token
    failed, ///< refused or not delivered
    unknown ///< sent, but no answer was received
};

/// Returns "done", "stale", "failed" or "unknown".
const char* to_string(order_status status);

/// Delivers orders to engines.
class order_sender {
public:
    virtual ~order_sender() = default;
    /// The order must not reach the engine after the timeout. The handler runs on the control
    /// thread, once.
    virtual void send(const placement_order& order, std::chrono::milliseconds timeout,
                      std::function<void(order_status)> done) = 0;

protected:
    order_sender() = default;
    order_sender(const order_sender&) = default;
    order_sender& operator=(const order_sender&) = default;
};

} // namespace almondline::placement
