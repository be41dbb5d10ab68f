#pragma once

#include "common/clock.h"
#include "common/settings.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>

namespace almondline::standins {

struct platform_options {
    ip_endpoint listen{"127.0.0.1", 0};
    double writes_per_second = 400; ///< 0: no limit
    double reads_per_second = 2000; ///< a watch counts as one read
    double weights_per_second = 2;
    std::size_t weight_bytes = 1'000'000;  ///< size of each file in the weight store
    std::chrono::milliseconds list_lag{0}; ///< until a change of the instance list is visible
    std::chrono::milliseconds slowness{0}; ///< delay of each call to the key-value service
};

/// Stand-in for the platform: key-value service, instance list and weight store. The io_context
/// must run on one thread.
class platform_service {
public:
    /// Starts to listen. Throws boost::system::system_error if the address can't be bound.
    platform_service(boost::asio::io_context& io, const clock_source& clock,
                     const platform_options& options);
    ~platform_service();

    std::uint16_t port() const;
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace almondline::standins
