#pragma once

#include "entry/caller_api.h"
#include "entry/entry_settings.h"
#include "entry/internal/backend_monitor.h"
#include "entry/internal/manifest_follower.h"
#include "entry/internal/peer_explain.h"
#include "entry/internal/placement_control.h"
#include "entry/internal/pools.h"
#include "granting/message_router.h"
#include "idempotency/idempotency_guard.h"
#include "membership/member_table.h"
#include "metrics/registry.h"
#include "peer/peer_transport.h"
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

/// Owner of all state of the control thread. Members without a note belong to that thread.
class control_state : public std::enable_shared_from_this<control_state> {
public:
    control_state(boost::asio::io_context& context, const entry_settings& entry,
                  const clock_source& source, metrics_registry& registry);

    void start();
    void every(std::chrono::milliseconds interval, std::function<void()> action);
    void tick();
    void poll_list();
    void poll_engines();
    void on_manifest();
    void on_message(const std::string& from, const wire::envelope& message);
    std::string peer_address_of(const std::string& id) const;
    std::string failure_domain_of(const std::string& id) const;
    routing::replica_table* replicas_of(const std::string& service);
    idempotency::guard_callbacks guard_callbacks();
    void send_all(const std::vector<membership::outgoing_message>& messages);
    void update_placement_members();
    void check_members();
    std::vector<membership::member> granter_candidates() const;
    void update_metrics();
    std::string report_status() const;

    boost::asio::io_context& io;
    entry_settings settings;
    const clock_source& clock;
    metrics_registry& metrics;
    http_key_value_store store;
    http_instance_list list;
    membership::member_table members;
    peer::peer_transport transport;
    granting::message_router router;
    granting::decision_log decisions;
    pools owned;
    granting::asker asker;
    peer_explain explaining;
    backend_monitor monitor;
    manifest_follower manifests;
    idempotency::idempotency_guard guard;
    placement_control placement;
    using member_key = std::tuple<std::string, std::int64_t, membership::member_status>;
    std::vector<member_key> known_members;
    bool is_draining = false;
    bool is_stopped = false;

    mutable std::mutex mutex; ///< for the two below, which other threads read
    std::shared_ptr<const manifest_snapshot> current;
    std::vector<advertised_address> addresses;
};

} // namespace almondline::entry
