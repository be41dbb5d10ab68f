#include "bench/internal/policies.h"

#include <algorithm>
#include <deque>

namespace almondline::bench {

namespace {

/// Entries dispatch at once; the engines' own waiting lists are the queues.
class direct_policy : public policy {
public:
    explicit direct_policy(simulation& sim) : policy{sim}
    {
        for (auto& engine : sim.engines()) {
            engine->counts_waiting = true;
        }
    }

    void arrive(simulated_request& request) override
    {
        request.is_answered = true;
        sim_.dispatch(request, next_replica());
    }

    void on_end(simulated_request&) override {}
    void on_report(int, const routing::load_report&) override {}

protected:
    virtual int next_replica() = 0;
};

class round_robin_policy final : public direct_policy {
public:
    using direct_policy::direct_policy;

private:
    int next_replica() override { return next_++ % static_cast<int>(sim_.engines().size()); }

    int next_ = 0;
};

class least_reported_policy final : public direct_policy {
public:
    explicit least_reported_policy(simulation& sim)
        : direct_policy{sim}, load_(sim.engines().size(), 0)
    {
    }

    void on_report(int replica, const routing::load_report& report) override
    {
        const auto index = static_cast<std::size_t>(replica);
        load_[index] = static_cast<double>(report.running + report.waiting) /
                       sim_.engines()[index]->description().max_in_flight;
    }

private:
    int next_replica() override
    {
        const double least = *std::min_element(load_.begin(), load_.end());
        std::vector<int> equal;
        for (std::size_t i = 0; i < load_.size(); ++i) {
            if (load_[i] <= least) {
                equal.push_back(static_cast<int>(i));
            }
        }
        return equal[sim_.random()() % equal.size()];
    }

    std::vector<double> load_;
};

/// One bounded queue in order of arrival; the newest request is shed.
class first_come_policy final : public policy {
public:
    explicit first_come_policy(simulation& sim) : policy{sim}, in_flight_(sim.engines().size(), 0)
    {
    }

    void arrive(simulated_request& request) override
    {
        if (queue_.size() >= bench_max_waiting) {
            sim_.refuse(request, outcome::shed);
            return;
        }
        queue_.push_back(&request);
        count_waiting(request, 1);
        dispatch_all();
    }

    void on_end(simulated_request& request) override
    {
        in_flight_[static_cast<std::size_t>(request.replica)] -= 1;
        dispatch_all();
    }

    void on_report(int, const routing::load_report&) override {}

private:
    void dispatch_all()
    {
        while (!queue_.empty()) {
            simulated_request& request = *queue_.front();
            if (request.deadline < sim_.now()) {
                queue_.pop_front();
                count_waiting(request, -1);
                sim_.refuse(request, outcome::late);
                continue;
            }
            const int replica = least_loaded_replica();
            if (replica < 0) {
                return;
            }
            queue_.pop_front();
            count_waiting(request, -1);
            in_flight_[static_cast<std::size_t>(replica)] += 1;
            request.is_answered = true;
            sim_.dispatch(request, replica);
        }
    }

    int least_loaded_replica()
    {
        int best = -1;
        double best_share = 1;
        for (std::size_t i = 0; i < in_flight_.size(); ++i) {
            const double share =
                static_cast<double>(in_flight_[i]) / sim_.engines()[i]->description().max_in_flight;
            if (share < best_share) {
                best = static_cast<int>(i);
                best_share = share;
            }
        }
        return best;
    }

    void count_waiting(const simulated_request& request, int change)
    {
        sim_.results().waiting[static_cast<std::size_t>(request.tier)] += change;
    }

    std::vector<int> in_flight_;
    std::deque<simulated_request*> queue_;
};

} // namespace

policy_maker make_round_robin_policy()
{
    return [](simulation& sim) { return std::make_unique<round_robin_policy>(sim); };
}

policy_maker make_least_reported_policy()
{
    return [](simulation& sim) { return std::make_unique<least_reported_policy>(sim); };
}

policy_maker make_first_come_policy()
{
    return [](simulation& sim) { return std::make_unique<first_come_policy>(sim); };
}

} // namespace almondline::bench
