#include "standins/internal/engine_model.h"

#include <algorithm>
#include <cmath>

namespace almondline::standins {

namespace {

double kv_tokens(const sequence& it)
{
    return it.prompt_tokens + std::floor(it.decoded);
}

void admit_waiting(engine_model& engine, step_result& result)
{
    while (!engine.waiting.empty() && engine.running.size() < engine.speed.max_running) {
        auto& next = engine.waiting.front();
        const bool fits =
            kv_used_tokens(engine) + kv_tokens(next) <= engine.speed.kv_capacity_tokens;
        if (!fits && !engine.running.empty()) {
            return;
        }
        const double cached =
            static_cast<double>(match_prefix(engine.cache, next.blocks) * block_tokens);
        next.cached_tokens = std::min(cached, next.prompt_tokens);
        next.prefill_left = kv_tokens(next) - next.cached_tokens;
        engine.counts.cached += next.cached_tokens;
        if (!next.has_started) {
            next.has_started = true;
            result.progressed.push_back({next.id, 0, next.cached_tokens, true});
        }
        engine.running.push_back(std::move(next));
        engine.waiting.pop_front();
    }
}

/// A preempted sequence loses its KV memory and recomputes its prompt and the answer so far.
void preempt_newest(engine_model& engine)
{
    while (engine.running.size() > 1 && kv_used_tokens(engine) > engine.speed.kv_capacity_tokens) {
        auto victim = std::move(engine.running.back());
        engine.running.pop_back();
        engine.counts.wasted_prefill += victim.prefill_done;
        ++engine.counts.preemptions;
        victim.prefill_done = 0;
        engine.waiting.push_front(std::move(victim));
    }
}

void prefill(engine_model& engine, double seconds, step_result& result)
{
    double budget = engine.speed.prefill_rate * seconds;
    for (auto& it : engine.running) {
        const double n = std::min(budget, it.prefill_left);
        if (n <= 0) {
            continue;
        }
        budget -= n;
        it.prefill_left -= n;
        it.prefill_done += n;
        engine.counts.prefilled += n;
        if (it.prefill_left <= 0) {
            auto changes = store_blocks(engine.cache, it.blocks);
            result.cache_changes.insert(result.cache_changes.end(), changes.begin(), changes.end());
        }
    }
}

void decode(engine_model& engine, double seconds, step_result& result)
{
    const auto is_decoding = [](const sequence& it) { return it.prefill_left <= 0; };
    const auto n = std::count_if(engine.running.begin(), engine.running.end(), is_decoding);
    const double others = std::max(0.0, static_cast<double>(n) - 1);
    const double tokens =
        engine.speed.decode_rate * seconds / (1 + engine.speed.decode_interference * others);
    for (auto& it : engine.running) {
        if (!is_decoding(it)) {
            continue;
        }
        const double before = std::floor(it.decoded);
        it.decoded = std::min(it.decoded + tokens, static_cast<double>(it.max_tokens));
        if (std::floor(it.decoded) > before) {
            const int total = static_cast<int>(std::floor(it.decoded));
            result.progressed.push_back({it.id, total, it.cached_tokens, false});
        }
    }
}

} // namespace

void add_sequence(engine_model& engine, sequence it)
{
    engine.waiting.push_back(std::move(it));
}

bool cancel_sequence(engine_model& engine, const std::string& id)
{
    const auto has_id = [&id](const sequence& it) { return it.id == id; };
    const auto found = std::find_if(engine.running.begin(), engine.running.end(), has_id);
    if (found != engine.running.end()) {
        engine.counts.wasted_prefill += found->prefill_done;
        engine.running.erase(found);
        return true;
    }
    return std::erase_if(engine.waiting, has_id) > 0;
}

step_result advance(engine_model& engine, double seconds)
{
    step_result result;
    const double scaled = seconds * engine.speed.time_scale / engine.speed.slow_factor;
    admit_waiting(engine, result);
    // Decoding runs before prefill, so that a sequence whose prompt needs prefill gets no token in
    // the step that admits it.
    decode(engine, scaled, result);
    prefill(engine, scaled, result);
    std::erase_if(engine.running, [](const sequence& it) { return it.decoded >= it.max_tokens; });
    preempt_newest(engine);
    return result;
}

double kv_used_tokens(const engine_model& engine)
{
    double used = 0;
    for (const auto& it : engine.running) {
        used += kv_tokens(it);
    }
    return used;
}

} // namespace almondline::standins
