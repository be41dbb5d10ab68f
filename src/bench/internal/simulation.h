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
struct deployment {
    std::string name;
    std::vector<engine_class> engines;
    int entries = 7;
    int failure_domains = 3;
    double domain_delay = 0.001; ///< s one way between failure domains
};

deployment shelfmark();
deployment goldfields();

struct scenario {
    std::string name;
    std::vector<stream_spec> streams;
    double duration = 180; ///< s
    double window_from = 60;
    double window_to = 180;
    double report_delay = 0.5; ///< s
    int slow_engine = -1;      ///< runs at a quarter of its speed from slow_from on
    double slow_from = 60;
};

class simulation;

/// What a policy decides. Called at the time that simulation::now() tells.
class policy {
public:
    explicit policy(simulation& sim) : sim_{sim} {}
    virtual ~policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;

    virtual void arrive(request& what) = 0;
    virtual void on_first_token(request&) {}
    /// The request left its engine: finished, late or refused by it.
    virtual void on_end(request& what) = 0;
    virtual void on_report(int replica, const routing::load_report& report) = 0;
    virtual void on_cache(int, const routing::cache_events&) {}
    virtual std::uint64_t cache_position(int) { return 0; }
    virtual void on_tick() {} ///< every 10 ms

protected:
    simulation& sim_;
};

using policy_maker = std::function<std::unique_ptr<policy>(simulation&)>;

/// Virtual time, engines, messages and measurements of one run.
class simulation {
public:
    simulation(const deployment& where, const scenario& what, const policy_maker& make);

    run_results run();

    double now() const { return now_; }
    steady_time clock() const;
    void schedule(double after, std::function<void()> action);
    run_results& results() { return results_; }
    const deployment& where() const { return where_; }
    std::vector<std::unique_ptr<fake_engine>>& engines() { return engines_; }
    std::mt19937_64& random() { return random_; }

    double delay(int from_entry, int to_entry) const;
    /// Delivers a message between entries after the delay. A few are lost. Local ones are calls.
    void send(int from, int to, double bytes, std::function<void()> action);
    /// Writes the request to an engine. It ends with policy::on_end().
    void dispatch(request& what, int replica);
    void refuse(request& what, outcome end);

    void on_first_token(request& what);
    void on_finished(request& what);
    double count_repeated(const request& what, std::size_t from);

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
    void end(request& what, outcome how);

    deployment where_;
    scenario what_;
    double now_ = 0;
    std::uint64_t next_event_ = 0;
    std::priority_queue<event> events_;
    std::vector<std::unique_ptr<fake_engine>> engines_;
    std::vector<request_source> sources_;
    std::deque<request> requests_;
    std::unordered_set<std::uint64_t> computed_; ///< shared blocks that any engine has computed
    std::mt19937_64 random_{20'240'601};
    run_results results_;
    std::unique_ptr<policy> policy_;
};

} // namespace almondline::bench
