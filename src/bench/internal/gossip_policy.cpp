#include "bench/internal/policies.h"
#include "scheduling/types/token_cost.h"

#include <algorithm>
#include <unordered_map>

namespace almondline::bench {

namespace {

constexpr double gossip_interval = 0.2;
constexpr double expire_interval = 0.1;
constexpr double gossip_bytes = 60;
constexpr double gossip_replica_bytes = 6;
constexpr double bytes_per_prompt_token = 4;
constexpr std::size_t handover_margin = 5;

/// The rejected designs: each entry has a queue and a table of its own and learns the others' work
/// in progress by gossip. With handover, a request moves to an entry with a shorter queue.
class gossip_policy final : public policy {
public:
    gossip_policy(simulation& sim, bool hands_over) : policy{sim}, hands_over_{hands_over}
    {
        const auto n = static_cast<std::size_t>(sim.where().entries);
        for (std::size_t i = 0; i < n; ++i) {
            entries_.push_back({scheduling::make_queue(bench_queue_config(bench_max_waiting / n)),
                                bench_replica_table(sim.where(), sim.clock()),
                                {},
                                {}});
            entries_.back().others.assign(n, std::vector<int>(sim.engines().size(), 0));
            entries_.back().queued.assign(n, 0);
        }
    }

    void arrive(request& what) override
    {
        const int target = hands_over_ ? shortest(what.entry) : what.entry;
        if (target == what.entry) {
            accept(what);
            return;
        }
        // A lost message leaves the fate of the request unknown to both entries.
        auto arrived = std::make_shared<bool>(false);
        const double bytes = ask_bytes + bytes_per_prompt_token * what.prompt;
        sim_.send(what.entry, target, bytes, [this, &what, target, arrived] {
            *arrived = true;
            what.entry = target;
            accept(what);
        });
        sim_.schedule(1.0, [this, arrived] {
            if (!*arrived) {
                sim_.results().unknown += 1;
            }
        });
    }

    void on_end(request& what) override
    {
        entry_state& at = entries_[static_cast<std::size_t>(what.entry)];
        const std::string id = replica_name(what.replica);
        if (what.end == outcome::finished) {
            routing::on_finish(at.table, id, what.id, make_finish_report(what), sim_.clock());
        }
        else {
            routing::on_cancel(at.table, id, what.id, sim_.clock());
        }
        const double output = what.end == outcome::finished ? what.output : 0;
        scheduling::finish(at.queue, what.id, scheduling::token_cost(what.prompt, output),
                           sim_.clock());
        dispatch_all(at);
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
        const bool is_expiry = sim_.now() >= next_expire_;
        next_expire_ = is_expiry ? sim_.now() + expire_interval : next_expire_;
        for (entry_state& each : entries_) {
            for (const auto& gone : is_expiry ? scheduling::expire(each.queue, sim_.clock())
                                              : std::vector<scheduling::shed_request>{}) {
                refuse(gone);
            }
            dispatch_all(each);
        }
    }

private:
    struct entry_state {
        scheduling::queue_state queue;
        routing::replica_table table;
        std::vector<std::vector<int>> others; ///< in flight by entry and replica
        std::vector<std::size_t> queued;      ///< by entry
    };

    scheduling::slot_view slots(const entry_state& at) const
    {
        const routing::slot_counts counts = routing::count_slots(at.table, sim_.clock());
        return {counts.total, counts.free};
    }

    int shortest(int self) const
    {
        const entry_state& at = entries_[static_cast<std::size_t>(self)];
        const auto own = scheduling::status(at.queue).waiting;
        const auto least = std::min_element(at.queued.begin(), at.queued.end());
        return *least + handover_margin < own ? static_cast<int>(least - at.queued.begin()) : self;
    }

    void accept(request& what)
    {
        entry_state& at = entries_[static_cast<std::size_t>(what.entry)];
        requests_[what.id] = &what;
        auto result =
            scheduling::enqueue(at.queue, make_credit_request(sim_, what), slots(at), sim_.clock());
        if (result.status == scheduling::enqueue_status::accepted) {
            count(what, 1);
        }
        for (const auto& gone : result.shed) {
            refuse(gone);
        }
        if (result.status == scheduling::enqueue_status::refused) {
            sim_.refuse(what, outcome_of(result.why));
        }
        dispatch_all(at);
    }

    void refuse(const scheduling::shed_request& gone)
    {
        request& what = *requests_.at(gone.what.request_id);
        count(what, -1);
        sim_.refuse(what, outcome_of(gone.why));
    }

    void dispatch_all(entry_state& at)
    {
        while (auto next = scheduling::pick(at.queue, slots(at), sim_.clock())) {
            const auto shape = make_shape(*next);
            const auto chosen = routing::choose(at.table, shape, sim_.clock());
            if (!chosen) {
                scheduling::put_back(at.queue, std::move(*next), sim_.clock());
                return;
            }
            routing::on_dispatch(at.table, chosen->id, shape, sim_.clock());
            request& what = *requests_.at(next->request_id);
            count(what, -1);
            what.is_answered = true;
            sim_.dispatch(what, replica_index(chosen->id));
        }
    }

    void gossip()
    {
        const int n = static_cast<int>(entries_.size());
        for (int from = 0; from < n; ++from) {
            const entry_state& at = entries_[static_cast<std::size_t>(from)];
            std::vector<int> counts;
            for (const routing::replica& each : at.table.replicas) {
                counts.push_back(each.in_flight);
            }
            const std::size_t queued = scheduling::status(at.queue).waiting;
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
        entry_state& at = entries_[static_cast<std::size_t>(to)];
        at.others[static_cast<std::size_t>(from)] = counts;
        at.queued[static_cast<std::size_t>(from)] = queued;
        at.queued[static_cast<std::size_t>(to)] = scheduling::status(at.queue).waiting;
        for (std::size_t i = 0; i < counts.size(); ++i) {
            routing::load_report report;
            report.running = at.table.replicas[i].in_flight;
            for (const auto& other : at.others) {
                report.running += other[i];
            }
            const std::string id = replica_name(static_cast<int>(i));
            routing::on_load_report(at.table, id, report, sim_.clock());
        }
    }

    void count(const request& what, int by)
    {
        sim_.results().waiting[static_cast<std::size_t>(what.tier)] += by;
    }

    bool hands_over_;
    std::vector<entry_state> entries_;
    std::unordered_map<std::string, request*> requests_;
    double next_gossip_ = 0;
    double next_expire_ = 0;
};

} // namespace

policy_maker make_gossip_policy(bool handover)
{
    return [handover](simulation& sim) { return std::make_unique<gossip_policy>(sim, handover); };
}

} // namespace almondline::bench
