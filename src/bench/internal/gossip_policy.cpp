#include "bench/internal/policies.h"
#include "scheduling/types/token_cost.h"

#include <algorithm>
#include <unordered_map>

namespace almondline::bench {

namespace {

constexpr double gossip_interval = 0.2; // s
constexpr double expire_interval = 0.1; // s
constexpr double gossip_bytes = 60;
constexpr double gossip_replica_bytes = 6;
constexpr double bytes_per_prompt_token = 4;
constexpr std::size_t handover_margin = 5;

/// The rejected designs: each entry has its own queue and replica table and receives the other
/// entries' work in progress by gossip. With handover, a request moves to an entry with a shorter
/// queue.
class gossip_policy final : public policy {
public:
    gossip_policy(simulation& sim, bool hands_over) : policy{sim}, hands_over_{hands_over}
    {
        const auto n = static_cast<std::size_t>(sim.deployment().entries);
        for (std::size_t i = 0; i < n; ++i) {
            entries_.push_back({scheduling::make_queue(bench_queue_config(bench_max_waiting / n)),
                                bench_replica_table(sim.deployment(), sim.clock()),
                                {},
                                {}});
            entries_.back().others.assign(n, std::vector<int>(sim.engines().size(), 0));
            entries_.back().queued.assign(n, 0);
        }
    }

    void arrive(simulated_request& request) override
    {
        const int target = hands_over_ ? shortest_queue(request.entry) : request.entry;
        if (target == request.entry) {
            accept(request);
            return;
        }
        // A lost message leaves the fate of the request unknown to both entries.
        auto arrived = std::make_shared<bool>(false);
        const double bytes = credit_request_bytes + bytes_per_prompt_token * request.prompt;
        sim_.send(request.entry, target, bytes, [this, &request, target, arrived] {
            *arrived = true;
            request.entry = target;
            accept(request);
        });
        sim_.schedule(1.0, [this, arrived] {
            if (!*arrived) {
                sim_.results().unknown += 1;
            }
        });
    }

    void on_end(simulated_request& request) override
    {
        entry_state& state = entries_[static_cast<std::size_t>(request.entry)];
        const std::string id = replica_name(request.replica);
        if (request.end == outcome::finished) {
            routing::on_finish(state.table, id, request.id, make_finish_report(request),
                               sim_.clock());
        }
        else {
            routing::on_cancel(state.table, id, request.id, sim_.clock());
        }
        const double output = request.end == outcome::finished ? request.output : 0;
        scheduling::finish(state.queue, request.id, scheduling::token_cost(request.prompt, output),
                           sim_.clock());
        dispatch_all(state);
    }

    void on_report(int, const routing::load_report&) override {}

    void on_cache(int replica, const routing::cache_events& events) override
    {
        for (entry_state& each : entries_) {
            routing::on_cache_events(each.table, replica_name(replica), events, sim_.clock());
        }
    }

    std::uint64_t cache_position(int replica) override
    {
        return routing::last_cache_event(entries_.front().table, replica_name(replica));
    }

    void on_tick() override
    {
        if (sim_.now() >= next_gossip_) {
            next_gossip_ = sim_.now() + gossip_interval;
            gossip();
        }
        const bool is_expiry_due = sim_.now() >= next_expire_;
        next_expire_ = is_expiry_due ? sim_.now() + expire_interval : next_expire_;
        for (entry_state& each : entries_) {
            for (const auto& shed : is_expiry_due ? scheduling::expire(each.queue, sim_.clock())
                                                  : std::vector<scheduling::shed_request>{}) {
                refuse(shed);
            }
            dispatch_all(each);
        }
    }

private:
    struct entry_state {
        scheduling::queue_state queue;
        routing::replica_table table;
        std::vector<std::vector<int>> others; ///< requests in flight, by entry and replica
        std::vector<std::size_t> queued;      ///< waiting requests, by entry
    };

    scheduling::slot_view slots(const entry_state& state) const
    {
        const routing::slot_counts counts = routing::count_slots(state.table, sim_.clock());
        return {counts.total, counts.free};
    }

    int shortest_queue(int self) const
    {
        const entry_state& state = entries_[static_cast<std::size_t>(self)];
        const auto own = scheduling::status(state.queue).waiting;
        const auto least = std::min_element(state.queued.begin(), state.queued.end());
        return *least + handover_margin < own ? static_cast<int>(least - state.queued.begin())
                                              : self;
    }

    void accept(simulated_request& request)
    {
        entry_state& state = entries_[static_cast<std::size_t>(request.entry)];
        requests_[request.id] = &request;
        auto result = scheduling::enqueue(state.queue, make_credit_request(sim_, request),
                                          slots(state), sim_.clock());
        if (result.status == scheduling::enqueue_status::accepted) {
            count_waiting(request, 1);
        }
        for (const auto& shed : result.shed) {
            refuse(shed);
        }
        if (result.status == scheduling::enqueue_status::refused) {
            sim_.refuse(request, outcome_of(result.reason));
        }
        dispatch_all(state);
    }

    void refuse(const scheduling::shed_request& shed)
    {
        simulated_request& request = *requests_.at(shed.request.request_id);
        count_waiting(request, -1);
        sim_.refuse(request, outcome_of(shed.reason));
    }

    void dispatch_all(entry_state& state)
    {
        while (auto next = scheduling::pick(state.queue, slots(state), sim_.clock())) {
            const auto shape = make_shape(*next);
            const auto chosen = routing::choose(state.table, shape, sim_.clock());
            if (!chosen) {
                scheduling::put_back(state.queue, std::move(*next), sim_.clock());
                return;
            }
            routing::on_dispatch(state.table, chosen->id, shape, sim_.clock());
            simulated_request& request = *requests_.at(next->request_id);
            count_waiting(request, -1);
            request.is_answered = true;
            sim_.dispatch(request, replica_index(chosen->id));
        }
    }

    void gossip()
    {
        const int n = static_cast<int>(entries_.size());
        for (int from = 0; from < n; ++from) {
            const entry_state& state = entries_[static_cast<std::size_t>(from)];
            std::vector<int> counts;
            for (const routing::replica& each : state.table.replicas) {
                counts.push_back(each.in_flight);
            }
            const std::size_t queued = scheduling::status(state.queue).waiting;
            const double bytes =
                gossip_bytes + gossip_replica_bytes * static_cast<double>(counts.size());
            for (int to = 0; to < n; ++to) {
                if (to != from) {
                    sim_.send(from, to, bytes, [this, from, to, counts, queued] {
                        receive(from, to, counts, queued);
                    });
                }
            }
        }
    }

    void receive(int from, int to, const std::vector<int>& counts, std::size_t queued)
    {
        entry_state& state = entries_[static_cast<std::size_t>(to)];
        state.others[static_cast<std::size_t>(from)] = counts;
        state.queued[static_cast<std::size_t>(from)] = queued;
        state.queued[static_cast<std::size_t>(to)] = scheduling::status(state.queue).waiting;
        for (std::size_t i = 0; i < counts.size(); ++i) {
            routing::load_report report;
            report.running = state.table.replicas[i].in_flight;
            for (const auto& other : state.others) {
                report.running += other[i];
            }
            const std::string id = replica_name(static_cast<int>(i));
            routing::on_load_report(state.table, id, report, sim_.clock());
        }
    }

    void count_waiting(const simulated_request& request, int change)
    {
        sim_.results().waiting[static_cast<std::size_t>(request.tier)] += change;
    }

    bool hands_over_;
    std::vector<entry_state> entries_;
    std::unordered_map<std::string, simulated_request*> requests_;
    double next_gossip_ = 0;
    double next_expire_ = 0;
};

} // namespace

policy_maker make_gossip_policy(bool handover)
{
    return [handover](simulation& sim) { return std::make_unique<gossip_policy>(sim, handover); };
}

} // namespace almondline::bench
