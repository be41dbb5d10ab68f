#pragma once

#include "bench/internal/engine.h"
#include "bench/internal/results.h"
#include "bench/internal/workload.h"
#include "common/clock.h"

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

namespace almondline::bench {

/// One of today's deployments.
struct deployment_config {
    std::string name;
    std::vector<engine_class> engines;
    int entries = 7;
    int failure_domains = 3;
    double domain_delay = 0.001; ///< s, one way between failure domains
};

deployment_config shelfmark();
deployment_config goldfields();

struct scenario_config {
    std::string name;
    std::vector<stream_spec> streams;
    double duration = 180; ///< s
    double window_from = 60;
    double window_to = 180;
    double report_delay = 0.5; ///< s
    int slow_engine = -1;      ///< runs at a quarter of its speed from slow_from on; -1: none
    double slow_from = 60;
};

class simulation;

/// Scheduling policy of a run. Called at the virtual time simulation::now().
class policy {
public:
    explicit policy(simulation& sim) : sim_{sim} {}
    virtual ~policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;

    virtual void arrive(simulated_request& request) = 0;
    virtual void on_first_token(simulated_request&) {}
    /// Called when a request has left its engine: finished, late or refused by the engine.
    virtual void on_end(simulated_request& request) = 0;
    virtual void on_report(int replica, const routing::load_report& report) = 0;
    virtual void on_cache(int, const routing::cache_events&) {}
    /// Returns the number of the last cache event that the policy has from a replica, 0 if none.
    virtual std::uint64_t cache_position(int) { return 0; }
    virtual void on_tick() {} ///< every 10 ms

protected:
    simulation& sim_;
};

using policy_maker = std::function<std::unique_ptr<policy>(simulation&)>;

/// Virtual time, engines, messages and measurements of one run.
class simulation {
public:
    simulation(const deployment_config& config, const scenario_config& scenario,
               const policy_maker& make);

    run_results run();

    double now() const { return now_; }
    steady_time clock() const;
    void schedule(double after, std::function<void()> action);
    run_results& results() { return results_; }
    const deployment_config& deployment() const { return deployment_; }
    std::vector<std::unique_ptr<fake_engine>>& engines() { return engines_; }
    std::mt19937_64& random() { return random_; }

    double delay(int from_entry, int to_entry) const;
    /// Delivers a message between entries after the delay and loses a few at random. A message from
    /// an entry to itself is a direct call.
    void send(int from, int to, double bytes, std::function<void()> action);
    /// Sends the request to an engine. policy::on_end() is called when the request ends.
    void dispatch(simulated_request& request, int replica);
    void refuse(simulated_request& request, outcome result);

    void on_first_token(simulated_request& request);
    void on_finished(simulated_request& request);
    /// Records the shared blocks of the request as computed. Returns how many of those from an
    /// index on had been computed before.
    double count_repeated(const simulated_request& request, std::size_t from);

private:
    struct event {
        double at = 0;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void start_stream(std::size_t index);
    void tick();
    void poll(int replica);
    void end(simulated_request& request, outcome result);

    deployment_config deployment_;
    scenario_config scenario_;
    double now_ = 0;
    std::uint64_t next_event_ = 0;
    std::priority_queue<event> events_;
    std::vector<std::unique_ptr<fake_engine>> engines_;
    std::vector<request_source> sources_;
    std::deque<simulated_request> requests_;
    std::unordered_set<std::uint64_t> computed_; ///< shared blocks that any engine has computed
    std::mt19937_64 random_{20'240'601};
    run_results results_;
    std::unique_ptr<policy> policy_;
};

} // namespace almondline::bench
