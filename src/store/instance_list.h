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

/// One line of the platform's list of instances.
struct listed_instance {
    std::string id;
    instance_role role = instance_role::backend;
    std::string service;      ///< backend servers: service name in the manifest
    std::string engine_class; ///< backend servers of model services
    std::string address;      ///< IP:PORT for callers (entry) or for requests (backend server)
    std::string peer_address; ///< entry instances: IP:PORT for other entry instances
    std::string failure_domain;
    bool is_leaving = false;
    std::int64_t incarnation = 0; ///< start of the process, ms since the epoch; 0: not known
    int max_in_flight = 0;        ///< backend servers: requests at once; 0: as the manifest says
};

struct instance_list_result {
    bool is_ok = false;
    std::uint64_t revision = 0; ///< rises with each change of the list; 0: not known
    std::vector<listed_instance> instances;
    std::string message; ///< cause of a failure
};

/// The platform's list of live and leaving instances. It lags behind the truth.
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

/// A change of one line of the list.
struct instance_change {
    std::string id;
    std::uint64_t revision = 0;
    std::optional<listed_instance> instance; ///< nothing: the line was removed or is not usable
};

struct instance_watch_result {
    watch_status status = watch_status::failed;
    std::uint64_t revision = 0;           ///< the next watch starts after it
    std::vector<instance_change> changes; ///< in order
    std::string message;                  ///< cause of a failure
};

/// A list whose changes can be awaited.
class watched_instance_list : public instance_list {
public:
    using watch_handler = std::function<void(const instance_watch_result&)>;

    /// Waits for changes after the revision, or until the time has passed. The handler runs on the
    /// control thread, exactly once, never from within the call.
    virtual void watch(std::uint64_t after_revision, std::chrono::milliseconds wait,
                       watch_handler done) = 0;
    /// Of the service that holds the list.
    virtual store_health health() const = 0;
};

} // namespace almondline
