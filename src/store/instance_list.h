#pragma once

#include "store/types/store_health.h"
#include "store/types/watch_status.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almondline {

enum class instance_role { entry, backend };

/// One element of the platform's list of instances.
struct listed_instance {
    std::string id;
    instance_role role = instance_role::backend;
    std::string service;      ///< backend servers: service name in the manifest
    std::string engine_class; ///< backend servers of model services
    std::string address;      ///< IP:PORT for callers (entry) or for requests (backend server)
    std::string peer_address; ///< entry instances: IP:PORT for other entry instances
    std::string failure_domain;
    bool is_leaving = false;
    std::int64_t incarnation = 0;   ///< process start, ms since the epoch; 0: unknown
    std::int64_t report_number = 0; ///< backend servers: of the reports of one process; 0: unknown
    int max_in_flight = 0;          ///< backend servers: concurrent requests; 0: as in the manifest
};

struct instance_list_result {
    bool is_ok = false;
    std::uint64_t revision = 0; ///< increases with each change of the list; 0: unknown
    std::vector<listed_instance> instances;
    std::string message;   ///< cause of a failure
    std::uint64_t era = 0; ///< see key_value_store::era()
};

/// The platform's list of live and leaving instances. It lags behind their actual state.
class instance_list {
public:
    using handler = std::function<void(const instance_list_result&)>;

    virtual ~instance_list() = default;
    /// The handler runs on the control thread, exactly once, never from within the call.
    virtual void fetch(handler done) = 0;

protected:
    instance_list() = default;
    instance_list(const instance_list&) = default;
    instance_list& operator=(const instance_list&) = default;
};

/// A change of one element of the list.
struct instance_change {
    std::string id;
    std::uint64_t revision = 0;
    std::optional<listed_instance> instance; ///< nullopt: the element was removed or is unusable
};

struct instance_watch_result {
    watch_status status = watch_status::failed;
    std::uint64_t revision = 0;           ///< the next watch starts after it
    std::vector<instance_change> changes; ///< in order
    std::string message;                  ///< cause of a failure
    std::uint64_t era = 0;                ///< see key_value_store::era()
};

/// An instance list that can be watched for changes.
class watched_instance_list : public instance_list {
public:
    using watch_handler = std::function<void(const instance_watch_result&)>;

    /// Waits for changes after the revision, at most for the given time. The handler runs on the
    /// control thread, exactly once, never from within the call.
    virtual void watch(std::uint64_t after_revision, std::chrono::milliseconds wait,
                       watch_handler done) = 0;
    /// Returns the health of the service that provides the list.
    virtual store_health health() const = 0;
};

} // namespace almondline
