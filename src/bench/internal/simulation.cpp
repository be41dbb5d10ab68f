#include "bench/internal/simulation.h"

#include <utility>

namespace almondline::bench {

namespace {

constexpr double message_loss = 0.0005;
constexpr double tick_interval = 0.01;
constexpr double poll_interval = 0.5;

const engine_class first_generation{"g1", 8'000, 0.022, 0.0006, 256, 120'000, 40'000, 32};
const engine_class second_generation{"g2", 16'000, 0.016, 0.0004, 256, 240'000, 60'000, 48};
const engine_class third_generation{"g3", 32'000, 0.012, 0.00025, 256, 480'000, 100'000, 64};

std::vector<engine_class> repeat_each(int n)
{
    std::vector<engine_class> engines;
    for (int i = 0; i < n; ++i) {
        engines.insert(engines.end(), {first_generation, second_generation, third_generation});
    }
    return engines;
}

} // namespace

deployment shelfmark()
{
    return {"shelfmark", repeat_each(6), 8, 3, 0.001};
}

deployment goldfields()
{
    return {"goldfields", repeat_each(4), 6, 3, 0.0003};
}

simulation::simulation(const deployment& where, const scenario& what, const policy_maker& make)
    : where_{where}, what_{what}
{
    results_.window_from = what.window_from;
    results_.window_to = what.window_to;
    for (const engine_class& each : where_.engines) {
        const int index = static_cast<int>(engines_.size());
        engines_.push_back(std::make_unique<fake_engine>(*this, index, each));
    }
    policy_ = make(*this);
    for (const stream_spec& spec : what_.streams) {
        sources_.emplace_back(spec, where_.entries);
    }
}

steady_time simulation::clock() const
{
    return steady_time{std::chrono::hours{1}} +
           std::chrono::duration_cast<steady_time::duration>(std::chrono::duration<double>(now_));
}

void simulation::schedule(double after, std::function<void()> action)
{
    events_.push({now_ + after, next_event_++, std::move(action)});
}

run_results simulation::run()
{
    for (std::size_t i = 0; i < sources_.size(); ++i) {
        start_stream(i);
    }
    tick();
    for (int i = 0; std::cmp_less(i, engines_.size()); ++i) {
        schedule(0.01 * i, [this, i] { poll(i); });
    }
    if (what_.slow_engine >= 0) {
        schedule(what_.slow_from, [this] {
            engines_[static_cast<std::size_t>(what_.slow_engine)]->set_slowdown(4);
        });
    }
    while (!events_.empty() && events_.top().at < what_.duration) {
        // The action may add events, so it is moved out first; top() is const.
        event next = std::move(const_cast<event&>(events_.top()));
        events_.pop();
        now_ = next.at;
        next.action();
    }
    return std::move(results_);
}

void simulation::start_stream(std::size_t index)
{
    request made;
    if (!sources_[index].next(made)) {
        return;
    }
    request& kept = requests_.emplace_back(std::move(made));
    schedule(kept.arrived - now_, [this, index, &kept] {
        results_.add_arrival(kept);
        policy_->arrive(kept);
        start_stream(index);
    });
}

void simulation::tick()
{
    policy_->on_tick();
    schedule(tick_interval, [this] { tick(); });
}

void simulation::poll(int replica)
{
    const fake_engine& engine = *engines_[static_cast<std::size_t>(replica)];
    routing::load_report report = engine.report();
    const double delay = what_.report_delay;
    report.age = std::chrono::milliseconds{static_cast<int>(delay * 1000)};
    auto events = engine.events_after(policy_->cache_position(replica));
    schedule(delay, [this, replica, report, events = std::move(events)] {
        policy_->on_report(replica, report);
        policy_->on_cache(replica, events);
    });
    schedule(poll_interval, [this, replica] { poll(replica); });
}

double simulation::delay(int from_entry, int to_entry) const
{
    const bool is_same = from_entry % where_.failure_domains == to_entry % where_.failure_domains;
    return is_same ? 0.0001 : where_.domain_delay;
}

void simulation::send(int from, int to, double bytes, std::function<void()> action)
{
    if (from == to) {
        action();
        return;
    }
    results_.messages += 1;
    results_.message_bytes += bytes;
    if (std::uniform_real_distribution<double>{0, 1}(random_) >= message_loss) {
        schedule(delay(from, to), std::move(action));
    }
}

void simulation::dispatch(request& what, int replica)
{
    what.replica = replica;
    what.dispatched = now_;
    schedule(where_.domain_delay, [this, &what] {
        if (!engines_[static_cast<std::size_t>(what.replica)]->submit(what)) {
            end(what, outcome::engine_refused);
            return;
        }
        schedule(what.deadline - now_, [this, &what] {
            if (what.end == outcome::open) {
                engines_[static_cast<std::size_t>(what.replica)]->cancel(what);
                end(what, outcome::late);
            }
        });
    });
}

void simulation::refuse(request& what, outcome how)
{
    what.is_answered = true;
    what.end = how;
    what.finished = now_;
    results_.add_refusal(what);
    what.blocks = {};
}

void simulation::on_first_token(request& what)
{
    if (what.first_token == 0) {
        what.first_token = now_;
        policy_->on_first_token(what);
    }
}

void simulation::on_finished(request& what)
{
    end(what, outcome::finished);
}

void simulation::end(request& what, outcome how)
{
    what.end = how;
    what.finished = now_;
    if (how == outcome::engine_refused) {
        results_.add_refusal(what);
    }
    results_.add_end(what);
    policy_->on_end(what);
    what.blocks = {};
}

double simulation::count_repeated(const request& what, std::size_t from)
{
    double repeated = 0;
    for (std::size_t i = 0; i < what.shared_blocks; ++i) {
        const bool is_new = computed_.insert(what.blocks[i]).second;
        repeated += !is_new && i >= from ? 1 : 0;
    }
    return repeated;
}

} // namespace almondline::bench
