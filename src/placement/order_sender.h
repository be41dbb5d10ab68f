#pragma once

#include "placement/types/placement.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace almondline::placement {

/// Order to an engine. Declarative: "drain", "load model" or "serve" at a version of the plan.
struct placement_order {
    std::string replica_id;
    std::string address;
    order_kind kind = order_kind::serve;
    std::string model;
    std::string replaces; ///< of a load: model to unload before, empty if none
    /// No byte may be sent after this time, which counts from the check of the lease.
    steady_time send_until{};
    std::uint64_t fencing = 0;      ///< revision of the holder's record
    std::uint64_t plan_version = 0; ///< rises with each order of a holder
};

enum class order_status {
    done,
    stale,  ///< the engine has seen a higher fencing number
    failed, ///< refused or not delivered
    unknown ///< the answer was lost
};

/// "done", "stale", "failed" or "unknown".
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
