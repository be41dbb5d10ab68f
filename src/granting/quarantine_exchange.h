#pragma once

#include "granting/quarantine.h"
#include "peer/peer_sender.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace almondline::granting {

struct quarantine_exchange_settings {
    quarantine_settings quarantine;
    std::chrono::milliseconds interval{1'000}; ///< between two messages about the same decisions
    std::size_t fanout = 2;                    ///< receivers of each such message
    /// Receivers of a new decision, beside the granters of the service.
    std::size_t first_fanout = 16;
    std::size_t max_decisions_per_message = 32;
};

/// Keeps the quarantined prompt parts of each service and exchanges them with the other instances,
/// so that they remain known when a granter or any other instance is lost. The granters of a
/// service's slices also tell each other which crashes were reported to them. Only the instance
/// that made a decision announces it; the others pass it on in their regular messages. Runs on the
/// control thread.
class quarantine_exchange {
public:
    /// Returns the instances that own pools of a service.
    using owner_lookup = std::function<std::vector<std::string>(const std::string& service)>;
    /// Returns the service of a pool that this instance owns, otherwise an empty string.
    using service_lookup = std::function<std::string(const std::string& pool)>;

    /// The clock and the sender must outlive the object.
    quarantine_exchange(std::string instance_id, const clock_source& clock, peer_sender& sender,
                        owner_lookup owners, service_lookup services,
                        quarantine_exchange_settings settings = {});

    /// Returns the table of a service. It stays valid as long as this object.
    quarantine_table& table_of(const std::string& service);
    const quarantine_table* find_table(const std::string& service) const;
    void set_members(std::vector<std::string> ids);
    /// Applies decisions and crashes of other instances, the crash that a holder reports when it
    /// releases a credit, and those that it reports to a new owner. Returns false if the message is
    /// of another kind; a release is also for its granter.
    bool handle(const wire::envelope& message);
    void tick(steady_time now);
    std::size_t quarantined_count() const;

private:
    struct entry {
        quarantine_table table;
        std::uint64_t announced_changes = 0; ///< table.own_changes at the last announcement
    };

    void report_crash(const std::string& service, const crash_evidence& crash);
    void apply(const std::string& service, const quarantine_decision& decision, steady_time now);
    void note_crash(const std::string& service, const crash_evidence& crash);
    void judge_crashes(const std::string& service, quarantine_table& table, steady_time now);
    std::vector<std::string> pick_members(std::size_t count);
    void send_decisions(const std::string& service, const std::vector<std::string>& receivers);
    void announce(const std::string& service, entry& it);

    std::string instance_id_;
    const clock_source& clock_;
    peer_sender& sender_;
    owner_lookup owners_of_;
    service_lookup service_of_pool_;
    quarantine_exchange_settings settings_;
    std::vector<std::string> members_; ///< without this instance
    std::map<std::string, entry> services_;
    std::mt19937_64 random_;
    steady_time next_round_{};
};

} // namespace almondline::granting
