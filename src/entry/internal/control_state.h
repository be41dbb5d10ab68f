#pragma once

#include "entry/caller_api.h"
#include "entry/entry_settings.h"
#include "entry/internal/backend_monitor.h"
#include "entry/internal/decision_collector.h"
#include "entry/internal/placement_control.h"
#include "fleet/node.h"
#include "idempotency/idempotency_guard.h"
#include "metrics/registry.h"
#include "store/http_instance_list.h"
#include "store/http_key_value_store.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace almondline::entry {

/// Owns the state of the control thread. Members may be used on that thread only, unless noted
/// otherwise.
class control_state : public std::enable_shared_from_this<control_state> {
public:
    control_state(boost::asio::io_context& context, const entry_settings& entry,
                  const clock_source& source, metrics_registry& registry);

    void start();
    void run_every(std::chrono::milliseconds interval, std::function<void()> action);
    void tick();
    void poll_list();
    void poll_engines();
    void on_manifest();
    bool on_message(const std::string& from, const wire::envelope& message);
    routing::replica_table* replicas_of(const std::string& service);
    idempotency::guard_callbacks guard_callbacks();
    fleet::node_callbacks node_callbacks();
    void update_placement_members();
    void on_members();
    void update_metrics();
    std::string report_status() const;

    boost::asio::io_context& io;
    entry_settings settings;
    const clock_source& clock;
    metrics_registry& metrics;
    http_key_value_store store;
    http_instance_list list;
    fleet::node node;
    decision_collector decision_queries;
    backend_monitor monitor;
    idempotency::idempotency_guard guard;
    placement_control placement;
    bool is_stopped = false;

    mutable std::mutex mutex; ///< guards current and addresses, which other threads read
    std::shared_ptr<const manifest_snapshot> current;
    std::vector<advertised_address> addresses;
};

} // namespace almondline::entry
