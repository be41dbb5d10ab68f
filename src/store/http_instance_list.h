#pragma once

#include "common/settings.h"
#include "store/instance_list.h"
#include "store/types/store_limits.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string_view>
#include <vector>

namespace almondline {

/// Parses the body of GET /v1/instances. Skips and logs an element without an id, a usable address
/// or a known role, so that one invalid element does not hide the other instances.
instance_list_result parse_instance_list(std::string_view body);

/// Client of the platform's instance list over HTTP, with failover between its addresses.
/// Handlers of fetches still pending when the object is destroyed do not run.
class http_instance_list final : public instance_list {
public:
    http_instance_list(boost::asio::any_io_executor executor, std::vector<ip_endpoint> addresses,
                       http_timeouts timeouts);
    ~http_instance_list() override;
    http_instance_list(const http_instance_list&) = delete;
    http_instance_list& operator=(const http_instance_list&) = delete;

    void fetch(handler done) override;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace almondline
