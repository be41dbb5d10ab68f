#pragma once

#include "entry/caller_api.h"
#include "entry/credit_source.h"
#include "entry/entry_settings.h"
#include "entry/key_guard.h"
#include "entry/traffic_context.h"
#include "metrics/registry.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace almondline::entry {

class control_state;

/// State of an entry instance that lives on the control thread: manifest, members, granters and
/// credit client. Functions are thread-safe unless noted otherwise.
class control_plane final : public credit_source,
                            public snapshot_source,
                            public decision_recorder,
                            public key_guard {
public:
    using deliver = std::function<void(std::string)>;

    /// Binds the peer address immediately and throws boost::system::system_error on failure. The
    /// io_context must run on a single thread, the control thread.
    control_plane(boost::asio::io_context& io, const entry_settings& settings,
                  const clock_source& clock, metrics_registry& metrics);
    ~control_plane() override;
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    void start();
    /// Announces to the other members that this instance accepts no new requests.
    void start_drain();

    void request(const std::string& pool, scheduling::credit_request new_request,
                 granting::credit_handler handler) override;
    void release(const granting::credit& credit, const granting::release_report& report) override;
    void cancel(const std::string& pool, const std::string& request_id) override;
    std::shared_ptr<const manifest_snapshot> snapshot() const override;
    void record(const std::string& request_id, const std::string& line) override;

    void admit(const idempotency::keyed_request& request, admission_handler handler) override;
    void finish(const idempotency::keyed_request& request,
                const idempotency::outcome& result) override;
    std::string mint() const override;
    std::chrono::milliseconds key_lifetime() const override;

    std::vector<advertised_address> addresses() const;
    /// Delivers the status report as JSON, on the control thread.
    void status(deliver done);
    /// Delivers the decision records of a request from all instances as JSON, on the control
    /// thread.
    void explain(std::string request_id, deliver done);
    /// Copies the control thread's counters into the metrics. Control thread only; a timer does it
    /// as well.
    void update_metrics();

private:
    std::shared_ptr<control_state> state_;
};

} // namespace almondline::entry
