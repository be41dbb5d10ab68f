#include "bench/internal/engine.h"

#include "bench/internal/simulation.h"

#include <algorithm>

namespace almondline::bench {

namespace {

// Fewer than a busy engine adds per second, so that readers see gaps.
constexpr std::size_t kept_events = 400;

} // namespace

fake_engine::fake_engine(simulation& sim, int index, engine_class config)
    : sim_{sim}, index_{index}, class_{std::move(config)}
{
}

bool fake_engine::submit(simulated_request& request)
{
    if (waiting_.size() >= max_engine_waiting) {
        return false;
    }
    waiting_.push_back({&request, 0, 0, 0, false});
    count_waiting(request, 1);
    if (!is_stepping_) {
        start_step();
    }
    return true;
}

void fake_engine::cancel(simulated_request& request)
{
    const auto is_request = [&](const sequence& each) { return each.request == &request; };
    const auto waiting = std::find_if(waiting_.begin(), waiting_.end(), is_request);
    if (waiting != waiting_.end()) {
        waiting_.erase(waiting);
        count_waiting(request, -1);
        return;
    }
    const auto running = std::find_if(running_.begin(), running_.end(), is_request);
    if (running != running_.end()) {
        kv_used_ -= request.prompt + running->produced;
        running_.erase(running);
    }
}

routing::load_report fake_engine::report() const
{
    routing::load_report result;
    result.running = static_cast<int>(running_.size());
    result.waiting = static_cast<int>(waiting_.size());
    result.kv_used_tokens = kv_used_;
    result.kv_capacity_tokens = class_.kv_tokens;
    return result;
}

routing::cache_events fake_engine::events_after(std::uint64_t after) const
{
    routing::cache_events result;
    result.first_sequence = events_.empty() ? next_event_ : events_.front().sequence;
    result.next_sequence = next_event_;
    for (const routing::cache_event& event : events_) {
        if (event.sequence > after) {
            result.events.push_back(event);
        }
    }
    return result;
}

void fake_engine::start_step()
{
    admit();
    if (running_.empty()) {
        is_stepping_ = false;
        return;
    }
    is_stepping_ = true;
    const auto decoding = std::count_if(running_.begin(), running_.end(), [](const auto& each) {
        return each.has_started && each.to_compute <= 0;
    });
    const double prefilled = prefill(class_.chunk);
    const double duration =
        slowdown_ * (class_.step_base + class_.step_per_stream * static_cast<double>(decoding) +
                     prefilled / class_.prefill_rate);
    sim_.schedule(duration, [this, duration] { end_step(duration); });
}

void fake_engine::admit()
{
    while (!waiting_.empty() && running_.size() < max_batch) {
        const double tokens = waiting_.front().request->prompt + waiting_.front().produced;
        if (!running_.empty() && kv_used_ + tokens > class_.kv_tokens) {
            return;
        }
        running_.push_back(waiting_.front());
        waiting_.pop_front();
        count_waiting(*running_.back().request, -1);
        kv_used_ += tokens;
    }
}

void fake_engine::start_prefill(sequence& entry)
{
    const std::size_t hit = cached_blocks(*entry.request);
    entry.has_started = true;
    entry.to_compute = std::max(1.0, entry.request->prompt + entry.produced -
                                         static_cast<double>(hit) * block_tokens);
    entry.request->prefilled += entry.to_compute;
    entry.request->repeated += sim_.count_repeated(*entry.request, hit) * block_tokens;
}

double fake_engine::prefill(double budget)
{
    double used = 0;
    for (sequence& each : running_) {
        if (used >= budget) {
            break;
        }
        if (!each.has_started) {
            start_prefill(each);
        }
        const double tokens = std::min(budget - used, each.to_compute);
        each.to_compute -= tokens;
        each.computed += tokens;
        used += tokens;
    }
    return used;
}

void fake_engine::end_step(double duration)
{
    std::vector<simulated_request*> done;
    int decoded = 0;
    for (sequence& each : running_) {
        if (!each.has_started || each.to_compute > 0) {
            continue;
        }
        each.produced += 1;
        kv_used_ += 1;
        if (each.produced == 1) {
            store_blocks(*each.request);
            sim_.on_first_token(*each.request);
        }
        else {
            decoded += 1;
        }
        if (each.produced >= each.request->output) {
            done.push_back(each.request);
        }
    }
    sim_.results().add_gaps(sim_.now(), duration, decoded);
    std::erase_if(running_, [&](const sequence& each) {
        const bool is_done = each.has_started && each.produced >= each.request->output;
        kv_used_ -= is_done ? each.request->prompt + each.produced : 0;
        return is_done;
    });
    while (kv_used_ > class_.kv_tokens && running_.size() > 1) {
        preempt();
    }
    for (simulated_request* each : done) {
        sim_.on_finished(*each);
    }
    start_step();
}

void fake_engine::preempt()
{
    sequence youngest = running_.back();
    running_.pop_back();
    kv_used_ -= youngest.request->prompt + youngest.produced;
    sim_.results().preemptions += 1;
    // The prompt has to be computed again, and the output so far becomes part of it.
    youngest.request->repeated += youngest.computed;
    youngest.has_started = false;
    youngest.to_compute = 0;
    waiting_.push_front(youngest);
    count_waiting(*youngest.request, 1);
}

void fake_engine::store_blocks(const simulated_request& request)
{
    for (const std::uint64_t block : request.blocks) {
        if (cache_.contains(block)) {
            continue;
        }
        recent_.push_front(block);
        cache_.emplace(block, recent_.begin());
        add_event(routing::cache_event_kind::stored, block);
    }
    while (static_cast<double>(cache_.size()) * block_tokens > class_.cache_tokens) {
        add_event(routing::cache_event_kind::evicted, recent_.back());
        cache_.erase(recent_.back());
        recent_.pop_back();
    }
}

std::size_t fake_engine::cached_blocks(const simulated_request& request)
{
    std::size_t n = 0;
    while (n < request.blocks.size()) {
        const auto found = cache_.find(request.blocks[n]);
        if (found == cache_.end()) {
            break;
        }
        recent_.splice(recent_.begin(), recent_, found->second);
        n += 1;
    }
    return n;
}

void fake_engine::add_event(routing::cache_event_kind kind, std::uint64_t block)
{
    events_.push_back({next_event_++, kind, block});
    if (events_.size() > kept_events) {
        events_.pop_front();
    }
}

void fake_engine::count_waiting(const simulated_request& request, int change)
{
    if (counts_waiting) {
        sim_.results().waiting[static_cast<std::size_t>(request.tier)] += change;
    }
}

} // namespace almondline::bench
