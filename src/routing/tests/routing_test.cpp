#include "routing/routing.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::routing;
using namespace std::chrono_literals;

namespace {

replica_spec make_spec(const std::string& id, double speed = 1, int slots = 8)
{
    replica_spec spec;
    spec.id = id;
    spec.address = "10.0.0.1:80";
    spec.engine_class = "g1";
    spec.prefill_rate = 10'000 * speed;
    spec.decode_rate = 50 * speed;
    spec.max_in_flight = slots;
    spec.kv_tokens = 100'000;
    return spec;
}

request_shape make_request(const std::string& id, double prompt = 1000, std::uint64_t prefix = 0)
{
    request_shape request;
    request.request_id = id;
    request.prompt_tokens = prompt;
    request.output_tokens = 100;
    for (std::uint64_t i = 0; prefix != 0 && i < 10; ++i) {
        request.prefix_blocks.push_back(prefix * 1000 + i);
    }
    return request;
}

struct fixture {
    manual_clock clock;
    replica_table table;
    int made = 0;

    fixture(std::initializer_list<replica_spec> specs)
    {
        for (const replica_spec& spec : specs) {
            update_replica(table, spec, clock.now());
        }
    }

    std::string chosen(const request_shape& request) const
    {
        const auto result = choose(table, request, clock.now());
        return result ? result->id : "";
    }

    std::string dispatch(double prompt = 1000, std::uint64_t prefix = 0)
    {
        const request_shape request = make_request("r" + std::to_string(made++), prompt, prefix);
        std::string id = chosen(request);
        on_dispatch(table, id, request, clock.now());
        return id;
    }

    candidate_state state(const std::string& id, const request_shape& request) const
    {
        const auto result = choose(table, request, clock.now());
        REQUIRE(result);
        for (const candidate& each : result->candidates) {
            if (each.id == id) {
                return each.state;
            }
        }
        return candidate_state::excluded;
    }

    void run_all(const std::string& id, const request_shape& request, int n, finish_report report)
    {
        for (int i = 0; i < n; ++i) {
            on_dispatch(table, id, request, clock.now());
            clock.advance(report.duration);
            on_finish(table, id, request.request_id, report, clock.now());
        }
    }
};

} // namespace

TEST_CASE("work spreads in proportion to speed, and own dispatches count at once")
{
    fixture f{make_spec("fast", 1.5, 16), make_spec("slow", 1, 8)};
    int fast = 0;
    for (int i = 0; i < 14; ++i) {
        fast += f.dispatch(100) == "fast" ? 1 : 0;
    }
    // On the full fast replica, a stream would be slower than alone on the slow one.
    CHECK(fast >= 10);
    CHECK(fast < 14);
}

TEST_CASE("an observed slowdown shifts work, and an idle slow replica is probed")
{
    fixture f{make_spec("a"), make_spec("b")};
    const request_shape request = make_request("x", 4000);
    f.run_all("a", request, 30, {1600ms, 9600ms, 4000, 100}); // a quarter of the speed
    for (int i = 0; i < 2; ++i) {
        CHECK(f.dispatch() == "b");
    }
    CHECK(f.table.replicas[0].decode_rate < 20);
    CHECK(f.table.replicas[0].prefill_rate < 4000);
    CHECK(count_slots(f.table, f.clock.now()).total < 13);
    f.clock.advance(5s);
    CHECK(f.dispatch() == "a"); // a single probe
    CHECK(f.dispatch() == "b");
}

TEST_CASE("requests in flight together correct a wrong speed estimate only once")
{
    fixture f{make_spec("a", 1, 64)};
    for (int i = 0; i < 40; ++i) {
        on_dispatch(f.table, "a", make_request("r" + std::to_string(i), 4000), f.clock.now());
    }
    for (int i = 0; i < 40; ++i) { // twice as slow as expected
        f.clock.advance(800ms);
        on_first_token(f.table, "a", "r" + std::to_string(i), f.clock.now());
    }
    CHECK(f.table.replicas[0].prefill_rate > 4500);
    CHECK(f.table.replicas[0].prefill_rate < 6000);
}

TEST_CASE("leaving replicas are never chosen, whether marked or reporting it themselves")
{
    fixture f{make_spec("a"), make_spec("b"), make_spec("c")};
    mark_leaving(f.table, "a");
    load_report report;
    report.is_leaving = true;
    on_load_report(f.table, "b", report, f.clock.now());
    report.is_leaving = false; // a delayed report does not revoke it
    report.age = 5s;
    on_load_report(f.table, "b", report, f.clock.now());
    request_shape request = make_request("x");
    CHECK(f.chosen(request) == "c");
    request.excluded = {"c"};
    CHECK(f.chosen(request).empty());
    CHECK(count_slots(f.table, f.clock.now()).total == 8);
}

TEST_CASE("load of others is estimated from delayed reports and decays with age")
{
    fixture f{make_spec("a"), make_spec("b")};
    for (int i = 0; i < 3; ++i) {
        on_dispatch(f.table, "a", make_request("o" + std::to_string(i), 10), f.clock.now());
    }
    f.clock.advance(5s);
    for (int i = 0; i < 3; ++i) {
        on_cancel(f.table, "a", "o" + std::to_string(i), f.clock.now());
    }
    load_report report;
    report.running = 3;
    report.age = 4s;
    on_load_report(f.table, "a", report, f.clock.now());
    CHECK(f.table.replicas[0].reported_others == 0); // these were own requests
    report.running = 8;
    report.age = 0s;
    on_load_report(f.table, "a", report, f.clock.now());
    CHECK(f.state("a", make_request("x")) == candidate_state::full);
    f.clock.advance(10s);
    CHECK(f.state("a", make_request("x")) == candidate_state::usable);
}

TEST_CASE("KV cache is reserved for the whole request, so that engines need not preempt")
{
    fixture f{make_spec("a")};
    on_dispatch(f.table, "a", make_request("big", 90'000), f.clock.now());
    f.clock.advance(10s);
    CHECK(f.chosen(make_request("x", 8000)).empty());
    CHECK(f.chosen(make_request("x", 1000)) == "a");
    on_finish(f.table, "a", "big", {}, f.clock.now());
    CHECK(f.chosen(make_request("x", 200'000)) == "a"); // larger than the cache: runs alone
}

TEST_CASE("requests with a prefix go to the replica that holds it until it is busier than the rest")
{
    fixture f{make_spec("a"), make_spec("b"), make_spec("c"), make_spec("d")};
    const std::string home = f.dispatch(4000, 7);
    f.clock.advance(1s);
    CHECK(f.dispatch(4000, 7) == home);
    int on_others = 0;
    for (int i = 0; i < 10; ++i) {
        f.clock.advance(1s);
        on_others += f.dispatch(4000, 7) != home ? 1 : 0;
    }
    CHECK(on_others > 0);
}

// A short block that many prompts share must not count as a hit for the whole prompt.
TEST_CASE("a hit counts only the tokens of the blocks that the replica holds")
{
    fixture f{make_spec("a")};
    request_shape held = make_request("x", 3000);
    held.prefix_blocks = {1, 2};
    held.prefix_tokens = {60, 3000};
    on_dispatch(f.table, "a", held, f.clock.now());
    on_finish(f.table, "a", "x", {}, f.clock.now());
    request_shape next = make_request("y", 2000);
    next.prefix_blocks = {1, 3};
    next.prefix_tokens = {60, 2000};
    CHECK(choose(f.table, next, f.clock.now())->hit_tokens == 60);
    CHECK(choose(f.table, held, f.clock.now())->hit_tokens == 3000);
}

// Guards against sending prompts over the links between failure domains while a local replica is as
// good.
TEST_CASE("a replica in the dispatching instance's failure domain goes first until it is busier")
{
    auto near = make_spec("near");
    near.failure_domain = "a";
    auto far = make_spec("far");
    far.failure_domain = "b";
    fixture f{far, near};
    f.table.config.balance_weight = 0.1;
    f.table.config.remote_penalty = 0.02;
    request_shape request = make_request("x");
    request.failure_domain = "a";
    CHECK(f.chosen(request) == "near");
    for (int i = 0; i < 4; ++i) {
        on_dispatch(f.table, "near", make_request("r" + std::to_string(i)), f.clock.now());
    }
    f.clock.advance(5s);
    CHECK(f.chosen(request) == "far");
    request.failure_domain = "b";
    CHECK(f.chosen(request) == "far");
}

TEST_CASE("cache events: duplicates are skipped, blocks before a gap count half, evictions apply")
{
    fixture f{make_spec("a"), make_spec("b")};
    const request_shape request = make_request("x", 4000, 7);
    const auto hit = [&] { return choose(f.table, request, f.clock.now())->hit_tokens; };
    cache_events events{1, 11, {}};
    for (std::uint64_t i = 0; i < 10; ++i) {
        events.events.push_back({i + 1, cache_event_kind::stored, 7000 + i});
    }
    on_cache_events(f.table, "b", events, f.clock.now());
    CHECK(f.chosen(request) == "b");
    CHECK(hit() == doctest::Approx(4000));
    CHECK(last_cache_event(f.table, "b") == 10);
    on_cache_events(f.table, "b", {1, 11, {{3, cache_event_kind::evicted, 7000}}}, f.clock.now());
    CHECK(hit() == doctest::Approx(4000));
    on_cache_events(f.table, "b", {20, 21, {{20, cache_event_kind::stored, 1}}}, f.clock.now());
    CHECK(hit() == doctest::Approx(2000));
    on_cache_events(f.table, "b", {20, 22, {{21, cache_event_kind::evicted, 7005}}}, f.clock.now());
    CHECK(hit() == doctest::Approx(1000));
    remove_replica(f.table, "b");
    update_replica(f.table, make_spec("c"), f.clock.now());
    CHECK(hit() == 0); // the reused table entry does not inherit the blocks
    CHECK(f.table.block_holders.empty());
}

TEST_CASE("known blocks are bounded, and the least recently used are dropped first")
{
    fixture f{make_spec("a")};
    f.table.config.max_known_blocks = 20;
    for (std::uint64_t prefix = 1; prefix < 100; ++prefix) {
        const request_shape request = make_request("x", 1000, prefix);
        on_dispatch(f.table, "a", request, f.clock.now());
        on_finish(f.table, "a", "x", {}, f.clock.now());
    }
    CHECK(f.table.block_holders.size() == 20);
    CHECK(choose(f.table, make_request("y", 1000, 99), f.clock.now())->hit_tokens > 0);
    CHECK(choose(f.table, make_request("y", 1000, 97), f.clock.now())->hit_tokens == 0);
}

TEST_CASE(
    "a failed or unresponsive replica gets single probes at growing intervals until it recovers")
{
    fixture f{make_spec("a"), make_spec("b")};
    const request_shape request = make_request("x");
    on_failure(f.table, "a", "lost", f.clock.now());
    CHECK(f.state("a", request) == candidate_state::ejected);
    f.clock.advance(1s);
    CHECK(f.dispatch() == "a");
    CHECK(f.dispatch() == "b");
    on_failure(f.table, "a", "r0", f.clock.now());
    f.clock.advance(1500ms);
    CHECK(f.state("a", request) == candidate_state::ejected);
    f.clock.advance(500ms);
    CHECK(f.dispatch() == "a");
    on_finish(f.table, "a", "r2", {}, f.clock.now());
    CHECK(f.state("a", request) == candidate_state::usable);
    on_load_report(f.table, "b", {}, f.clock.now());
    f.clock.advance(3001ms);
    CHECK(f.state("b", request) == candidate_state::probe);
    on_dispatch(f.table, "b", request, f.clock.now());
    CHECK(f.state("b", request) == candidate_state::ejected);
    on_load_report(f.table, "b", {}, f.clock.now());
    CHECK(f.state("b", request) == candidate_state::usable);
}

TEST_CASE("a replica with too much prefill ahead is not chosen")
{
    fixture f{make_spec("a")};
    f.table.config.max_prefill_wait = 500ms;
    CHECK(f.dispatch(9000) == "a");
    CHECK(f.chosen(make_request("x")).empty());
    f.clock.advance(500ms);
    CHECK(f.chosen(make_request("x")) == "a");
    const auto result = choose(f.table, make_request("x"), f.clock.now());
    CHECK(result->reason.find("lowest score") == 0);
}

TEST_CASE("requests of an account with a backlog avoid the fastest replica if another is free")
{
    fixture f{make_spec("slow", 1, 2), make_spec("fast", 4, 2), make_spec("slow2", 1, 2)};
    CHECK(count_slots(f.table, f.clock.now()).free_headroom == 2);
    request_shape request = make_request("x");
    CHECK(f.chosen(request) == "fast");
    request.leaves_headroom = true;
    for (const char* id : {"a", "b", "c", "d"}) {
        request.request_id = id;
        CHECK(f.chosen(request).starts_with("slow"));
        on_dispatch(f.table, f.chosen(request), request, f.clock.now());
    }
    CHECK(f.chosen(request) == "fast"); // the queue has already decided to dispatch it
    mark_leaving(f.table, "fast");
    CHECK(count_slots(f.table, f.clock.now()).free_headroom == 0);
}

// Guards against sending a request to a replica that lacks its model or is about to be unloaded.
TEST_CASE("only replicas with the request's model are chosen")
{
    fixture f{make_spec("a"), make_spec("b")};
    const auto chosen = [&](const std::string& model) {
        auto request = make_request("r");
        request.model = model;
        return f.chosen(request);
    };
    const auto report = [&](const std::string& id, std::vector<std::string> models,
                            const std::string& role = {}) {
        f.clock.advance(500ms);
        load_report it;
        it.models = std::move(models);
        it.role = role;
        on_load_report(f.table, id, it, f.clock.now());
    };
    CHECK_FALSE(chosen("small").empty());
    report("a", {});
    CHECK_FALSE(chosen("small").empty()); // an engine that reports no models serves all
    report("a", {"small"});
    report("b", {"large"});
    CHECK(chosen("small") == "a");
    CHECK(chosen("large") == "b");
    CHECK_FALSE(chosen("").empty());
    CHECK(chosen("other").empty());
    report("b", {"large"}, "draining");
    CHECK(chosen("large").empty());
    report("b", {}, "draining"); // unloaded
    CHECK(chosen("large").empty());
    CHECK(count_slots(f.table, f.clock.now()).total == 8);
    report("b", {"small"}, "serving");
    set_draining(f.table, {"a"}, f.clock.now());
    CHECK(chosen("small") == "b");
    set_draining(f.table, {}, f.clock.now());
    CHECK(count_slots(f.table, f.clock.now()).total == 16);
}

// Guards against an unload while a credit that was granted before the drain is still in transit, or
// while a request of a former granter is running that only the engine reports.
TEST_CASE("a draining replica counts as busy until a report after the settle time shows no request")
{
    fixture f{make_spec("a")};
    const auto unfinished = [&] {
        return unfinished_requests(f.table.replicas[0], 2500ms, f.clock.now());
    };
    const auto report = [&](int running, std::chrono::milliseconds age = 0ms) {
        load_report it;
        it.age = age;
        it.running = running;
        it.models = {"small"};
        on_load_report(f.table, "a", it, f.clock.now());
    };
    report(0);
    CHECK(unfinished() == 0);
    set_draining(f.table, {"a"}, f.clock.now());
    CHECK(unfinished() == 1);
    f.clock.advance(3s);
    CHECK(unfinished() == 1); // no report since
    report(0, 1s);
    CHECK(unfinished() == 1); // taken before the settle time ended
    report(2);
    CHECK(unfinished() == 2);
    f.clock.advance(500ms);
    report(0);
    CHECK(unfinished() == 0);
}

// Guards against a short outage keeping a server out of use for the longest probe interval because
// each of its requests in flight counted as a failure.
TEST_CASE("requests that fail together count as one failure")
{
    fixture f{make_spec("a"), make_spec("b")};
    const auto request = make_request("r");
    for (int n = 0; n < 6; ++n) {
        on_dispatch(f.table, "a", make_request("r" + std::to_string(n)), f.clock.now());
    }
    for (int n = 0; n < 6; ++n) {
        on_failure(f.table, "a", "r" + std::to_string(n), f.clock.now());
    }
    CHECK(f.state("a", request) == candidate_state::ejected);
    f.clock.advance(f.table.config.probe_interval);
    REQUIRE(f.state("a", request) == candidate_state::probe);
    on_dispatch(f.table, "a", make_request("r6"), f.clock.now());
    on_failure(f.table, "a", "r6", f.clock.now());
    f.clock.advance(f.table.config.probe_interval);
    CHECK(f.state("a", request) == candidate_state::ejected); // a failed probe doubles the interval
    f.clock.advance(f.table.config.probe_interval);
    CHECK(f.state("a", request) == candidate_state::probe);
}

// Guards against a pool whose only servers are probed so rarely that all requests are refused for
// many seconds after the servers have recovered.
TEST_CASE("the probe interval does not grow while no other replica can take requests")
{
    fixture f{make_spec("a")};
    on_dispatch(f.table, "a", make_request("r"), f.clock.now());
    for (int n = 0; n < 5; ++n) {
        on_failure(f.table, "a", "r", f.clock.now());
        CHECK(f.chosen(make_request("r")).empty());
        f.clock.advance(f.table.config.probe_interval);
        REQUIRE(f.chosen(make_request("r")) == "a");
        on_dispatch(f.table, "a", make_request("r"), f.clock.now());
    }
}

TEST_CASE("a changed KV capacity of a known replica takes effect unless its engine reported one")
{
    fixture f{make_spec("a")};
    auto spec = make_spec("a");
    spec.kv_tokens = 2'000;
    update_replica(f.table, spec, f.clock.now());
    CHECK(f.table.replicas[0].kv_capacity == 2'000);

    load_report report;
    report.kv_capacity_tokens = 5'000;
    on_load_report(f.table, "a", report, f.clock.now());
    spec.kv_tokens = 3'000;
    update_replica(f.table, spec, f.clock.now());
    CHECK(f.table.replicas[0].kv_capacity == 5'000);

    // A new process at a new address has not reported anything yet.
    spec.address = "10.0.0.2:80";
    update_replica(f.table, spec, f.clock.now());
    CHECK(f.table.replicas[0].kv_capacity == 3'000);
}
