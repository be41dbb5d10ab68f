#include "bench/internal/policies.h"
#include "scheduling/types/token_cost.h"

#include <unordered_map>

namespace almondline::bench {

namespace {

constexpr int granter = 0;
constexpr double ask_resend = 1.0;
constexpr double credit_lifetime = 2.0;
constexpr double expire_interval = 0.1;

/// One granter with a queue and a table; entries ask it and dispatch on its grants.
class granter_policy final : public policy {
public:
    explicit granter_policy(simulation& sim)
        : policy{sim}, queue_{scheduling::make_queue(bench_queue_config(bench_max_waiting))},
          table_{bench_replica_table(sim.where(), sim.clock())}
    {
    }

    void arrive(request& what) override { send_ask(what); }

    void on_first_token(request&) override {}

    void on_end(request& what) override { send_release(what); }

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
            for (const auto& gone : scheduling::expire(queue_, sim_.clock())) {
                refuse(gone);
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

    void send_ask(request& what)
    {
        if (what.is_answered) {
            return;
        }
        const double bytes = ask_bytes + block_bytes * static_cast<double>(what.blocks.size());
        sim_.send(what.entry, granter, bytes, [this, &what] { on_ask(what); });
        if (what.entry != granter) {
            sim_.schedule(ask_resend, [this, &what] { send_ask(what); });
        }
    }

    void on_ask(request& what)
    {
        if (what.is_answered) {
            return;
        }
        requests_[what.id] = &what;
        auto result =
            scheduling::enqueue(queue_, make_credit_request(sim_, what), slots(), sim_.clock());
        if (result.status == scheduling::enqueue_status::accepted) {
            count(what, 1);
        }
        for (const auto& gone : result.shed) {
            refuse(gone);
        }
        if (result.status == scheduling::enqueue_status::refused) {
            answer_refusal(what, outcome_of(result.why));
        }
        grant_all();
    }

    void refuse(const scheduling::shed_request& gone)
    {
        request& what = *requests_.at(gone.what.request_id);
        count(what, -1);
        answer_refusal(what, outcome_of(gone.why));
    }

    void answer_refusal(request& what, outcome how)
    {
        requests_.erase(what.id);
        sim_.refuse(what, how);
        // A lost refusal is repeated when the ask is resent; only its cost is counted here.
        sim_.send(granter, what.entry, refusal_bytes, [] {});
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

    void grant(request& what, int replica)
    {
        count(what, -1);
        what.replica = replica;
        sim_.send(granter, what.entry, grant_bytes, [this, &what, replica] {
            what.is_answered = true;
            sim_.send(what.entry, granter, confirm_bytes, [] {});
            sim_.dispatch(what, replica);
        });
        sim_.schedule(credit_lifetime, [this, &what, replica] {
            if (!what.is_answered) {
                routing::on_not_dispatched(table_, replica_name(replica), what.id, sim_.clock());
                scheduling::finish(queue_, what.id, 0, sim_.clock());
            }
        });
    }

    void send_release(request& what)
    {
        // Releases are repeated until acknowledged by the next message; a lost one costs 1 s.
        auto delivered = std::make_shared<bool>(false);
        sim_.send(what.entry, granter, release_bytes, [this, &what, delivered] {
            *delivered = true;
            on_release(what);
        });
        sim_.schedule(1.0, [this, &what, delivered] {
            if (!*delivered) {
                on_release(what);
            }
        });
    }

    void on_release(request& what)
    {
        const std::string id = replica_name(what.replica);
        if (what.end == outcome::finished) {
            routing::on_finish(table_, id, what.id, make_finish_report(what), sim_.clock());
            scheduling::finish(queue_, what.id, scheduling::token_cost(what.prompt, what.output),
                               sim_.clock());
        }
        else {
            routing::on_cancel(table_, id, what.id, sim_.clock());
            scheduling::finish(queue_, what.id, scheduling::token_cost(what.prompt, 0),
                               sim_.clock());
        }
        requests_.erase(what.id);
        grant_all();
    }

    void count(const request& what, int by)
    {
        sim_.results().waiting[static_cast<std::size_t>(what.tier)] += by;
    }

    scheduling::queue_state queue_;
    routing::replica_table table_;
    std::unordered_map<std::string, request*> requests_;
    double next_expire_ = 0;
};

} // namespace

policy_maker make_granter_policy()
{
    return [](simulation& sim) { return std::make_unique<granter_policy>(sim); };
}

} // namespace almondline::bench
