#pragma once

#include "common/settings.h"
#include "store/types/store_limits.h"

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace almondline {

enum class weight_status {
    found,
    missing,
    limited, ///< rate limit of the weight store exceeded
    failed   ///< outage or timeout
};

struct weight_result {
    weight_status status = weight_status::failed;
    std::string body;
    std::chrono::milliseconds retry_after{0}; ///< for limited, from Retry-After, 1 s without it
    std::string message;                      ///< cause of a failure
};

/// Client of the platform's rate-limited weight store. Fails over between its addresses but does
/// not retry.
class weight_store {
public:
    using handler = std::function<void(const weight_result&)>;

    weight_store(boost::asio::any_io_executor executor, std::vector<ip_endpoint> addresses,
                 http_timeouts timeouts);
    ~weight_store();
    weight_store(const weight_store&) = delete;
    weight_store& operator=(const weight_store&) = delete;

    /// Reads the weights stored under the name. The handler runs on the executor, exactly once,
    /// never from within the call. It does not run after the object is destroyed.
    void fetch(const std::string& name, handler done);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace almondline
