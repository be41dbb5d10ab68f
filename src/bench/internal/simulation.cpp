#include "bench/internal/simulation.h"

#include <utility>

namespace almondline::bench {

namespace {

constexpr double message_loss = 0.0005; // share of messages
constexpr double tick_interval = 0.01;  // s
constexpr double poll_interval = 0.5;   // s

const engine_class first_generation{"g1", 8'000, 0.022, 0.0006, 256, 120'000, 40'000, 32};
const engine_class second_generation{"g2", 16'000, 0.016, 0.0004, 256, 240'000, 60'000, 48};
const engine_class third_generation{"g3", 32'000, 0.012, 0.00025, 256, 480'000, 100'000, 64};

std::vector<engine_class> engines_of_each_generation(int n)
{
    std::vector<engine_class> engines;
    for (int i = 0; i < n; ++i) {
        engines.insert(engines.end(), {first_generation, second_generation, third_generation});
    }
    return engines;
}

} // namespace

deployment_config shelfmark()
{
    return {"shelfmark", engines_of_each_generation(6), 8, 3, 0.001};
}

deployment_config goldfields()
{
    return {"goldfields", engines_of_each_generation(4), 6, 3, 0.0003};
}

simulation::simulation(const deployment_config& config, const scenario_config& scenario,
                       const policy_maker& make)
    : deployment_{config}, scenario_{scenario}
{
    results_.window_from = scenario.window_from;
    results_.window_to = scenario.window_to;
    for (const engine_class& each : deployment_.engines) {
        const int index = static_cast<int>(engines_.size());
        engines_.push_back(std::make_unique<fake_engine>(*this, index, each));
    }
    policy_ = make(*this);
    for (const stream_spec& spec : scenario_.streams) {
        sources_.emplace_back(spec, deployment_.entries);
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
    if (scenario_.slow_engine >= 0) {
        schedule(scenario_.slow_from, [this] {
            engines_[static_cast<std::size_t>(scenario_.slow_engine)]->set_slowdown(4);
        });
    }
    while (!events_.empty() && events_.top().at < scenario_.duration) {
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
    simulated_request arrival;
    if (!sources_[index].next(arrival)) {
        return;
    }
    simulated_request& stored = requests_.emplace_back(std::move(arrival));
    schedule(stored.arrived - now_, [this, index, &stored] {
        results_.add_arrival(stored);
        policy_->arrive(stored);
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
    const double delay = scenario_.report_delay;
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
    const bool is_same_domain =
        from_entry % deployment_.failure_domains == to_entry % deployment_.failure_domains;
    return is_same_domain ? 0.0001 : deployment_.domain_delay;
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

void simulation::dispatch(simulated_request& request, int replica)
{
    request.replica = replica;
    request.dispatched = now_;
    schedule(deployment_.domain_delay, [this, &request] {
        if (!engines_[static_cast<std::size_t>(request.replica)]->submit(request)) {
            end(request, outcome::engine_refused);
            return;
        }
        schedule(request.deadline - now_, [this, &request] {
            if (request.end == outcome::open) {
                engines_[static_cast<std::size_t>(request.replica)]->cancel(request);
                end(request, outcome::late);
            }
        });
    });
}

void simulation::refuse(simulated_request& request, outcome result)
{
    request.is_answered = true;
    request.end = result;
    request.finished = now_;
    results_.add_refusal(request);
    request.blocks = {};
}

void simulation::on_first_token(simulated_request& request)
{
    if (request.first_token == 0) {
        request.first_token = now_;
        policy_->on_first_token(request);
    }
}

void simulation::on_finished(simulated_request& request)
{
    end(request, outcome::finished);
}

void simulation::end(simulated_request& request, outcome result)
{
    request.end = result;
    request.finished = now_;
    if (result == outcome::engine_refused) {
        results_.add_refusal(request);
    }
    results_.add_end(request);
    policy_->on_end(request);
    request.blocks = {};
}

double simulation::count_repeated(const simulated_request& request, std::size_t from)
{
    double repeated = 0;
    for (std::size_t i = 0; i < request.shared_blocks; ++i) {
        const bool is_new = computed_.insert(request.blocks[i]).second;
        repeated += !is_new && i >= from ? 1 : 0;
    }
    return repeated;
}

} // namespace almondline::bench
