#pragma once

#include "backend/types/dispatch.h"
#include "common/clock.h"
#include "routing/types/replica.h"
#include "store/instance_list.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondline::entry {

/// Polls engines for load reports and cache events and stores them in a replica table. Runs on the
/// control thread.
class backend_monitor {
public:
    /// Returns the replica table of a service, or nullptr if this instance does not schedule the
    /// service, or no longer does.
    using table_lookup = std::function<routing::replica_table*(const std::string& service)>;

    backend_monitor(boost::asio::any_io_executor executor, const clock_source& clock,
                    std::chrono::milliseconds call_timeout, table_lookup lookup);
    ~backend_monitor();
    backend_monitor(const backend_monitor&) = delete;
    backend_monitor& operator=(const backend_monitor&) = delete;

    /// Starts a read of each engine that has no read in progress.
    void poll(const std::vector<listed_instance>& engines);
    /// Number of HTTP calls made so far.
    std::uint64_t calls() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace almondline::entry
