#include "bench/internal/policies.h"
#include "scheduling/types/token_cost.h"

#include <unordered_map>

namespace almondline::bench {

namespace {

constexpr int granter = 0;
constexpr double resend_interval = 1.0; // s
constexpr double credit_lifetime = 2.0; // s
constexpr double expire_interval = 0.1; // s

/// One granter with a queue and a replica table. Entries request credits from it and dispatch each
/// request that is granted one.
class granter_policy final : public policy {
public:
    explicit granter_policy(simulation& sim)
        : policy{sim}, queue_{scheduling::make_queue(bench_queue_config(bench_max_waiting))},
          table_{bench_replica_table(sim.deployment(), sim.clock())}
    {
    }

    void arrive(simulated_request& request) override { send_credit_request(request); }

    void on_first_token(simulated_request&) override {}

    void on_end(simulated_request& request) override { send_release(request); }

    void on_report(int replica, const routing::load_report& report) override
    {
        routing::on_load_report(table_, replica_name(replica), report, sim_.clock());
    }

    void on_cache(int replica, const routing::cache_events& events) override
    {
        routing::on_cache_events(table_, replica_name(replica), events, sim_.clock());
    }

    std::uint64_t cache_position(int replica) override
    {
        return routing::last_cache_event(table_, replica_name(replica));
    }

    void on_tick() override
    {
        if (sim_.now() >= next_expire_) {
            next_expire_ = sim_.now() + expire_interval;
            for (const auto& shed : scheduling::expire(queue_, sim_.clock())) {
                refuse(shed);
            }
        }
        grant_all();
    }

private:
    scheduling::slot_view slots() const
    {
        const routing::slot_counts counts = routing::count_slots(table_, sim_.clock());
        return {counts.total, counts.free, counts.free_headroom};
    }

    void send_credit_request(simulated_request& request)
    {
        if (request.is_answered) {
            return;
        }
        const double bytes =
            credit_request_bytes + block_bytes * static_cast<double>(request.blocks.size());
        sim_.send(request.entry, granter, bytes, [this, &request] { on_credit_request(request); });
        if (request.entry != granter) {
            sim_.schedule(resend_interval, [this, &request] { send_credit_request(request); });
        }
    }

    void on_credit_request(simulated_request& request)
    {
        if (request.is_answered) {
            return;
        }
        requests_[request.id] = &request;
        auto result =
            scheduling::enqueue(queue_, make_credit_request(sim_, request), slots(), sim_.clock());
        if (result.status == scheduling::enqueue_status::accepted) {
            count_waiting(request, 1);
        }
        for (const auto& shed : result.shed) {
            refuse(shed);
        }
        if (result.status == scheduling::enqueue_status::refused) {
            answer_refusal(request, outcome_of(result.reason));
        }
        grant_all();
    }

    void refuse(const scheduling::shed_request& shed)
    {
        simulated_request& request = *requests_.at(shed.request.request_id);
        count_waiting(request, -1);
        answer_refusal(request, outcome_of(shed.reason));
    }

    void answer_refusal(simulated_request& request, outcome result)
    {
        requests_.erase(request.id);
        sim_.refuse(request, result);
        // A lost refusal is repeated when the credit request is resent; only the message is
        // counted.
        sim_.send(granter, request.entry, refusal_bytes, [] {});
    }

    void grant_all()
    {
        while (auto next = scheduling::pick(queue_, slots(), sim_.clock())) {
            auto shape = make_shape(*next);
            shape.leaves_headroom = !scheduling::may_use_headroom(queue_, *next, sim_.clock());
            const auto chosen = routing::choose(table_, shape, sim_.clock());
            if (!chosen) {
                scheduling::put_back(queue_, std::move(*next), sim_.clock());
                return;
            }
            routing::on_dispatch(table_, chosen->id, shape, sim_.clock());
            grant(*requests_.at(next->request_id), replica_index(chosen->id));
        }
    }

    void grant(simulated_request& request, int replica)
    {
        count_waiting(request, -1);
        request.replica = replica;
        sim_.send(granter, request.entry, grant_bytes, [this, &request, replica] {
            request.is_answered = true;
            sim_.send(request.entry, granter, confirm_bytes, [] {});
            sim_.dispatch(request, replica);
        });
        sim_.schedule(credit_lifetime, [this, &request, replica] {
            if (!request.is_answered) {
                routing::on_not_dispatched(table_, replica_name(replica), request.id, sim_.clock());
                scheduling::finish(queue_, request.id, 0, sim_.clock());
            }
        });
    }

    void send_release(simulated_request& request)
    {
        // Releases are resent until the next message acknowledges them; a lost one costs 1 s.
        auto delivered = std::make_shared<bool>(false);
        sim_.send(request.entry, granter, release_bytes, [this, &request, delivered] {
            *delivered = true;
            on_release(request);
        });
        sim_.schedule(1.0, [this, &request, delivered] {
            if (!*delivered) {
                on_release(request);
            }
        });
    }

    void on_release(simulated_request& request)
    {
        const std::string id = replica_name(request.replica);
        if (request.end == outcome::finished) {
            routing::on_finish(table_, id, request.id, make_finish_report(request), sim_.clock());
            scheduling::finish(queue_, request.id,
                               scheduling::token_cost(request.prompt, request.output),
                               sim_.clock());
        }
        else {
            routing::on_cancel(table_, id, request.id, sim_.clock());
            scheduling::finish(queue_, request.id, scheduling::token_cost(request.prompt, 0),
                               sim_.clock());
        }
        requests_.erase(request.id);
        grant_all();
    }

    void count_waiting(const simulated_request& request, int change)
    {
        sim_.results().waiting[static_cast<std::size_t>(request.tier)] += change;
    }

    scheduling::queue_state queue_;
    routing::replica_table table_;
    std::unordered_map<std::string, simulated_request*> requests_;
    double next_expire_ = 0;
};

} // namespace

policy_maker make_granter_policy()
{
    return [](simulation& sim) { return std::make_unique<granter_policy>(sim); };
}

} // namespace almondline::bench
