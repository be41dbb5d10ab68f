#pragma once

#include "fleet/node.h"
#include "fleet/registration.h"
#include "fleet/server_list.h"
#include "gateway/address_choice.h"
#include "gateway/gateway_settings.h"
#include "gateway/types/gateway_context.h"
#include "http/connection_pool.h"
#include "http/server.h"
#include "metrics/registry.h"
#include "store/instance_list.h"
#include "store/key_value_store.h"
#include "store/types/store_limits.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Entry instance for fleets whose callers select a route by host and path.
namespace almondline::gateway {

/// Dependencies that the platform provides. All references must outlive the gateway.
struct gateway_dependencies {
    key_value_store& store;
    watched_instance_list& servers; ///< backend servers
    instance_list& members;         ///< entry instances
    /// Calls made to the store so far, for metrics.
    std::function<store_call_counts()> store_calls;
    call_protocol protocol;
    fleet::manifest_source manifests;
    std::string member_key;    ///< key of this instance's own record in the store
    std::string member_record; ///< content of that record
    /// Reads the settings file again; empty if it is not valid.
    std::function<std::optional<gateway_settings>()> read_settings;
    /// Answers the platform's readiness check.
    std::function<http_response(const http_request&, bool is_ready)> answer_health;
    std::function<http_response(const http_request&, const address_source& addresses_for,
                                std::chrono::milliseconds lifetime)>
        answer_directory; ///< answers callers that request addresses of instances
};

/// Runs entirely on the thread of the io_context.
class gateway {
public:
    /// Binds all listening addresses. Throws boost::system::system_error if one can't be bound.
    gateway(boost::asio::io_context& io, const clock_source& clock,
            const gateway_settings& settings, const membership::member& self,
            gateway_dependencies dependencies);

    /// Starts serving. On a stop signal, stops the io_context once the requests in progress are
    /// done or the stop limit is nearly reached.
    void start();

private:
    void every(std::chrono::milliseconds interval, std::function<void()> action);
    void tick();
    void on_servers_changed();
    void on_notice(const std::string& backend_id, const server_notice& notice);
    std::vector<std::string> live_peers() const;
    void poll_members();
    std::chrono::milliseconds member_interval();
    void on_manifest_changed();
    void reread_settings();
    void wait_for_signal();
    void begin_stop();
    void check_stopped();
    void finish_stop();
    void update_metrics();
    bool is_ready() const;
    http_server_limits limits() const;
    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> serve_metrics(http_exchange& exchange);

    boost::asio::io_context& io_;
    const clock_source& clock_;
    gateway_settings settings_;
    gateway_dependencies dependencies_;
    metrics_registry metrics_;
    fleet::server_list servers_;
    connection_pool connections_;
    steady_time started_;
    retry_window retries_;
    std::atomic<std::uint64_t> response_bytes_{0};
    fleet::node node_;
    fleet::registration registration_;
    std::shared_ptr<const route_table> routes_;
    gateway_context context_;
    http_server caller_server_;
    http_server health_;
    http_server directory_;
    http_server metrics_server_;
    boost::asio::signal_set signals_;
    bool is_polling_members_ = false;
    bool has_new_members_ = true; ///< the last read of the list returned more than the one before
    std::size_t listed_members_ = 0; ///< number in the last read of the list
    steady_time next_member_poll_{};
    /// Doubled by each poll while no peer is live, or while new members appear after the start.
    std::chrono::milliseconds current_poll_interval_{0};
    bool was_idle_ = false; ///< at the last check of a stop
};

} // namespace almondline::gateway
