#include "standins/internal/cache_log.h"
#include "standins/internal/engine_model.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::standins;

namespace {

engine_model make_engine()
{
    engine_model engine;
    engine.speed = {.prefill_rate = 1000, .decode_rate = 10, .decode_interference = 0};
    engine.cache.capacity = 4;
    return engine;
}

sequence make_sequence(const std::string& id, double prompt_tokens, int max_tokens,
                       const std::string& prompt = {})
{
    sequence it;
    it.id = id;
    it.prompt_tokens = prompt_tokens;
    it.max_tokens = max_tokens;
    it.blocks = hash_blocks(prompt);
    return it;
}

int tokens_of(const step_result& result, const std::string& id)
{
    int tokens = 0;
    for (const auto& it : result.progressed) {
        tokens = it.id == id ? std::max(tokens, it.tokens) : tokens;
    }
    return tokens;
}

} // namespace

TEST_CASE("sequences of a batch progress together, not one after the other")
{
    auto engine = make_engine();
    add_sequence(engine, make_sequence("a", 100, 10));
    add_sequence(engine, make_sequence("b", 100, 10));
    advance(engine, 1);
    const auto result = advance(engine, 0.5);
    CHECK(tokens_of(result, "a") == 5);
    CHECK(tokens_of(result, "b") == 5);
    CHECK(kv_used_tokens(engine) == 210);
}

TEST_CASE("speed options scale prefill and decode")
{
    struct speed_case {
        double time_scale, slow_factor;
        int tokens; ///< after 0.1 s of prefill for 100 prompt tokens and 0.5 s more
    };
    for (const auto& it : {speed_case{1, 1, 5}, speed_case{2, 1, 10}, speed_case{1, 5, 0}}) {
        auto engine = make_engine();
        engine.speed.time_scale = it.time_scale;
        engine.speed.slow_factor = it.slow_factor;
        add_sequence(engine, make_sequence("a", 100, 100));
        advance(engine, 0.1);
        CHECK(tokens_of(advance(engine, 0.5), "a") == it.tokens);
    }
}

TEST_CASE("sequences beyond the batch limit wait and are admitted in order of arrival")
{
    auto engine = make_engine();
    engine.speed.max_running = 1;
    add_sequence(engine, make_sequence("a", 10, 1));
    add_sequence(engine, make_sequence("b", 10, 1));
    advance(engine, 1);
    CHECK(engine.waiting.size() == 1);
    advance(engine, 1);
    advance(engine, 1);
    CHECK(engine.waiting.empty());
    CHECK(engine.running.front().id == "b");
}

TEST_CASE("when KV memory runs out, the newest sequence is preempted and its prefill wasted")
{
    auto engine = make_engine();
    engine.speed.kv_capacity_tokens = 205;
    add_sequence(engine, make_sequence("a", 100, 20));
    add_sequence(engine, make_sequence("b", 100, 20));
    advance(engine, 1);
    advance(engine, 0.5);
    CHECK(engine.counts.preemptions == 1);
    CHECK(engine.counts.wasted_prefill == 100);
    CHECK(engine.waiting.front().id == "b");
}

TEST_CASE("cancelling frees the memory of a running sequence and removes a waiting one")
{
    auto engine = make_engine();
    engine.speed.max_running = 1;
    add_sequence(engine, make_sequence("a", 100, 20));
    add_sequence(engine, make_sequence("b", 100, 20));
    advance(engine, 0.05);
    CHECK(cancel_sequence(engine, "a"));
    CHECK(cancel_sequence(engine, "b"));
    CHECK_FALSE(cancel_sequence(engine, "a"));
    CHECK(kv_used_tokens(engine) == 0);
    CHECK(engine.counts.wasted_prefill == 50);
}

TEST_CASE("a block's hash depends on all preceding blocks, and a partial block has none")
{
    const std::string a(prefix_block_size, 'a');
    const std::string b(prefix_block_size, 'b');
    const auto ab = hash_blocks(a + b);
    const auto bb = hash_blocks(b + b);
    CHECK(ab.size() == 2);
    CHECK(ab[1] != bb[1]);
    CHECK(hash_blocks(a + b + "x") == ab);
    CHECK(hash_blocks(a + a)[0] == ab[0]);
}

TEST_CASE("the prefix cache saves prefill and evicts the least recently used block")
{
    auto engine = make_engine();
    const std::string shared(3 * prefix_block_size, 's');
    add_sequence(engine, make_sequence("a", 48, 1, shared));
    advance(engine, 1);
    add_sequence(engine, make_sequence("b", 48, 1, shared));
    advance(engine, 1);
    CHECK(engine.counts.cached == 48);
    CHECK(engine.counts.prefilled == 48);
    const auto changes = store_blocks(engine.cache, {1, 2});
    CHECK(std::count_if(changes.begin(), changes.end(),
                        [](const auto& it) { return !it.is_stored; }) == 1);
    CHECK(engine.cache.recency.size() == 4);
}

TEST_CASE("cache events are delayed, and lost events show as a first_seq above the requested one")
{
    const steady_time start{std::chrono::hours{1}};
    struct log_case {
        std::size_t gap_every, max_events;
        std::uint64_t after;
        std::chrono::milliseconds later;
        std::string start_of_body;
    };
    const std::chrono::milliseconds lag{100};
    for (const auto& it : {log_case{0, 100, 0, lag / 2, R"({"first_seq":1,"next_seq":1,)"},
                           log_case{0, 100, 0, lag, R"({"first_seq":1,"next_seq":6,)"},
                           log_case{0, 100, 3, lag, R"({"first_seq":4,"next_seq":6,)"},
                           log_case{0, 100, 9, lag, R"({"first_seq":6,"next_seq":6,)"},
                           log_case{4, 100, 0, lag, R"({"first_seq":4,"next_seq":6,)"},
                           log_case{0, 2, 0, lag, R"({"first_seq":4,"next_seq":6,)"}}) {
        cache_log log;
        log.lag = lag;
        log.max_events = it.max_events;
        log.gap_every = it.gap_every;
        append_changes(log, {{true, 1}, {true, 2}, {true, 3}, {false, 1}, {true, 4}}, start);
        const auto body = events_json(log, it.after, start + it.later);
        CHECK(body.substr(0, it.start_of_body.size()) == it.start_of_body);
    }
}
