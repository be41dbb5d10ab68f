#pragma once

#include "common/clock.h"
#include "placement/order_sender.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>

namespace almondline::placement {

/// Sends orders as POST /v1/orders, each on a new connection:
///   drain  role "draining"
///   serve  role "serving"
///   load   unload-model for the replaced model, if any, then load-model
///
/// done: every request was answered with 2xx. stale: 409. failed: another status, or nothing was
/// sent. unknown: sent, but not answered in time. Nothing is sent after the timeout or after
/// placement_order::send_until, even if the process was paused while connecting.
class http_order_sender final : public order_sender {
public:
    /// The executor must run on the control thread. The clock must outlive the object. Handlers of
    /// orders in progress are not called after the object is destroyed.
    http_order_sender(boost::asio::any_io_executor executor, const clock_source& clock);
    ~http_order_sender() override;
    http_order_sender(const http_order_sender&) = delete;
    http_order_sender& operator=(const http_order_sender&) = delete;

    void send(const placement_order& order, std::chrono::milliseconds timeout,
              std::function<void(order_status)> done) override;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace almondline::placement
