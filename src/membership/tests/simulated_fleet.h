#pragma once

#include "common/clock.h"
#include "membership/member_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondline::membership::tests {

/// Fleet on a simulated lossy network with a manual clock. Each message takes one step.
class simulated_fleet {
public:
    static constexpr std::chrono::milliseconds step{25};

    simulated_fleet(int size, int domains, double loss, std::uint64_t seed,
                    membership_config config = {});

    void run(std::chrono::milliseconds duration);
    void kill(const std::string& id) { tables.erase(id); }
    void start(const std::string& id, std::int64_t incarnation);
    std::vector<listed_instance> list() const;
    bool is_excluded_everywhere(const std::string& id) const;
    /// Runs until no member advertises the instance to callers, for at most 10 s. Returns the time.
    std::chrono::milliseconds time_to_exclude(const std::string& id);
    int count_status(const std::string& id, member_status status) const;

    std::map<std::string, std::unique_ptr<member_table>> tables;
    std::set<std::string> listed;
    /// Failure domains that exchange no messages with the others.
    std::set<std::string> isolated_domains;
    std::set<std::pair<std::string, std::string>> broken_links; ///< from, to
    std::map<std::string, std::uint64_t> bytes_sent;
    int false_deaths = 0; ///< counted for each pair of members: a running one considered dead

    std::string domain_of(const std::string& id) const;
    steady_time now() const { return clock_.now(); }

private:
    struct envelope {
        std::string from;
        outgoing_message content;
    };
    void post(const std::string& from, std::vector<outgoing_message> messages);
    bool is_lost(const envelope& message);
    void count_deaths();

    membership_config config_;
    int domains_;
    double loss_;
    std::mt19937_64 random_;
    manual_clock clock_;
    std::vector<envelope> in_flight_;
    std::map<std::string, std::uint64_t> seen_deaths_;
    std::set<std::pair<std::string, std::string>> reported_dead_;
};

std::string name_of(int index);
/// Returns the peer address of a member. A test can give it to a later process on the same machine.
std::string address_of(const std::string& id);

} // namespace almondline::membership::tests
