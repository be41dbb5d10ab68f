#include "bench/internal/engine.h"

#include "bench/internal/simulation.h"

#include <algorithm>

namespace almondline::bench {

namespace {

constexpr std::size_t kept_events = 400; // fewer than a busy second makes: readers see gaps

} // namespace

fake_engine::fake_engine(simulation& sim, int index, engine_class of)
    : sim_{sim}, index_{index}, class_{std::move(of)}
{
}

bool fake_engine::submit(request& what)
{
    if (waiting_.size() >= max_engine_waiting) {
        return false;
    }
    waiting_.push_back({&what, 0, 0, 0, false});
    count_waiting(what, 1);
    if (!is_stepping_) {
        start_step();
    }
    return true;
}

void fake_engine::cancel(request& what)
{
    const auto is_it = [&](const sequence& each) { return each.what == &what; };
    const auto waits = std::find_if(waiting_.begin(), waiting_.end(), is_it);
    if (waits != waiting_.end()) {
        waiting_.erase(waits);
        count_waiting(what, -1);
        return;
    }
    const auto runs = std::find_if(running_.begin(), running_.end(), is_it);
    if (runs != running_.end()) {
        kv_used_ -= what.prompt + runs->produced;
        running_.erase(runs);
    }
}

routing::load_report fake_engine::report() const
{
    routing::load_report made;
    made.running = static_cast<int>(running_.size());
    made.waiting = static_cast<int>(waiting_.size());
    made.kv_used_tokens = kv_used_;
    made.kv_capacity_tokens = class_.kv_tokens;
    return made;
}

routing::cache_events fake_engine::events_after(std::uint64_t after) const
{
    routing::cache_events made;
    made.first_sequence = events_.empty() ? next_event_ : events_.front().sequence;
    made.next_sequence = next_event_;
    for (const routing::cache_event& event : events_) {
        if (event.sequence > after) {
            made.events.push_back(event);
        }
    }
    return made;
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
        const double tokens = waiting_.front().what->prompt + waiting_.front().produced;
        if (!running_.empty() && kv_used_ + tokens > class_.kv_tokens) {
            return;
        }
        running_.push_back(waiting_.front());
        waiting_.pop_front();
        count_waiting(*running_.back().what, -1);
        kv_used_ += tokens;
    }
}

void fake_engine::begin(sequence& of)
{
    const std::size_t hit = cached_blocks(*of.what);
    of.has_started = true;
    of.to_compute =
        std::max(1.0, of.what->prompt + of.produced - static_cast<double>(hit) * block_tokens);
    of.what->prefilled += of.to_compute;
    of.what->repeated += sim_.count_repeated(*of.what, hit) * block_tokens;
}

double fake_engine::prefill(double budget)
{
    double used = 0;
    for (sequence& each : running_) {
        if (used >= budget) {
            break;
        }
        if (!each.has_started) {
            begin(each);
        }
        const double part = std::min(budget - used, each.to_compute);
        each.to_compute -= part;
        each.computed += part;
        used += part;
    }
    return used;
}

void fake_engine::end_step(double duration)
{
    std::vector<request*> done;
    int decoded = 0;
    for (sequence& each : running_) {
        if (!each.has_started || each.to_compute > 0) {
            continue;
        }
        each.produced += 1;
        kv_used_ += 1;
        if (each.produced == 1) {
            store_blocks(*each.what);
            sim_.on_first_token(*each.what);
        }
        else {
            decoded += 1;
        }
        if (each.produced >= each.what->output) {
            done.push_back(each.what);
        }
    }
    sim_.results().add_gaps(sim_.now(), duration, decoded);
    std::erase_if(running_, [&](const sequence& each) {
        const bool is_done = each.has_started && each.produced >= each.what->output;
        kv_used_ -= is_done ? each.what->prompt + each.produced : 0;
        return is_done;
    });
    while (kv_used_ > class_.kv_tokens && running_.size() > 1) {
        preempt();
    }
    for (request* each : done) {
        sim_.on_finished(*each);
    }
    start_step();
}

void fake_engine::preempt()
{
    sequence youngest = running_.back();
    running_.pop_back();
    kv_used_ -= youngest.what->prompt + youngest.produced;
    sim_.results().preemptions += 1;
    // The prompt has to be computed again, and the output is taken as part of it.
    youngest.what->repeated += youngest.computed;
    youngest.has_started = false;
    youngest.to_compute = 0;
    waiting_.push_front(youngest);
    count_waiting(*youngest.what, 1);
}

void fake_engine::store_blocks(const request& what)
{
    for (const std::uint64_t block : what.blocks) {
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

std::size_t fake_engine::cached_blocks(const request& what)
{
    std::size_t n = 0;
    while (n < what.blocks.size()) {
        const auto found = cache_.find(what.blocks[n]);
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

void fake_engine::count_waiting(const request& what, int by)
{
    if (counts_waiting) {
        sim_.results().waiting[static_cast<std::size_t>(what.tier)] += by;
    }
}

} // namespace almondline::bench
