#include "bench/internal/control_roles.h"
#include "bench/internal/control_samples.h"
#include "granting/decision_log.h"
#include "idempotency/internal/claim_record.h"
#include "idempotency/outcome_table.h"
#include "idempotency/range_owner.h"
#include "placement/plan.h"

namespace almondline::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string sample_id = "0123456789abcdef0123456789abcdef";
constexpr milliseconds tick{10};
constexpr seconds claim_time{10};

idempotency::claim_request make_claim(int number)
{
    const std::string digits = std::to_string(10'000'000 + number);
    idempotency::claim_request claim;
    claim.claim_id = sample_id.substr(digits.size()) + digits;
    claim.account = "account-0123";
    claim.key_hash = idempotency::hash_key(claim.account, digits);
    claim.holder = "entry-0" + std::to_string(100 + number % 100);
    claim.holder_incarnation = 1'796'000'000'000;
    claim.request_id = claim.claim_id;
    return claim;
}

/// Adds the cost of claims on one instance that owns all key ranges.
void add_claims(control_role& role, int rate)
{
    manual_clock clock;
    fake_key_value_store store{clock};
    counting_store counted{store};
    idempotency::range_owner owner{counted, clock, {}};
    int started = 0;
    int claimed = 0;
    double claims_due = 0;
    double time = 0;
    for (milliseconds spent{0}; spent < claim_time; spent += tick) {
        clock.advance(tick);
        std::vector<idempotency::claim_request> due;
        claims_due += rate * std::chrono::duration<double>{tick}.count();
        for (; claims_due >= 1; claims_due -= 1) {
            due.push_back(make_claim(started++));
        }
        const double start = processor_ns();
        for (auto& it : due) {
            owner.submit(
                std::move(it),
                [&claimed](const idempotency::claim_answer& answer) {
                    claimed += answer.status == idempotency::claim_status::claimed ? 1 : 0;
                },
                clock.now());
        }
        owner.tick(clock.now());
        store.run();
        time += processor_ns() - start;
    }
    const std::string variable = "claims/s";
    role.add("writes", "per claim", variable, rate, counted.counts.writes / claimed);
    role.add("reads", "per claim", variable, rate, counted.counts.gets / claimed);
    role.add("time", "ns per claim", variable, rate, time / claimed);
}

void add_record(control_role& role, int claims)
{
    const double before = heap_bytes();
    idempotency::claim_record record;
    for (int i = 0; i < claims; ++i) {
        const auto claim = make_claim(i);
        record.claims[claim.key_hash] = {claim.claim_id, claim.holder, claim.holder_incarnation,
                                         std::chrono::minutes{29'000'000}};
    }
    role.add("memory of records", "B", "claims", claims, heap_bytes() - before);
    role.add("record", "B", "claims", claims,
             static_cast<double>(idempotency::to_text(record).size()));
    role.add("record write", "ns", "claims", claims,
             min_ns_per_call(5, [&] { idempotency::to_text(record); }));
}

double outcome_memory(int entries, std::size_t body_bytes)
{
    const double before = heap_bytes();
    idempotency::outcome_table table{{}};
    for (int i = 0; i < entries; ++i) {
        const auto claim = make_claim(i);
        table.begin(claim.account, claim.key_hash, sample_id + sample_id, false, {}, {});
        idempotency::outcome result;
        result.http_status = 200;
        result.content_type = "application/json";
        result.body = std::string(body_bytes, 'a');
        result.run = verdict::ran;
        table.finish(claim.account, claim.key_hash, result, {});
    }
    return heap_bytes() - before;
}

void add_decision(granting::decision_log& log, const std::string& request, int candidates)
{
    std::string scores;
    for (int i = 0; i < candidates; ++i) {
        scores += "backend-0012" + std::to_string(i) + "=1.234,";
    }
    log.add(request, log_level::info, "grant",
            {{"request", request},
             {"pool", "chat/region-1/0123"},
             {"tier", 1},
             {"holder", "entry-0123"},
             {"credit", "entry-0001-1796000000000-123456"},
             {"backend", "backend-00123"},
             {"reason", "least-expected-time"},
             {"candidates", scores}});
}

std::vector<placement::replica_status> make_replicas(int count, int models)
{
    std::vector<placement::replica_status> all;
    for (int i = 0; i < count; ++i) {
        placement::replica_status it;
        it.id = "backend-" + std::to_string(10'000 + i);
        it.address = "10.20.30.40:9000";
        it.failure_domain = "region-1-domain-2";
        it.model = "model-" + std::to_string(i % models);
        it.in_flight = 60;
        all.push_back(it);
    }
    return all;
}

void add_plan(control_role& role, int count)
{
    constexpr int models = 5;
    const double before = heap_bytes();
    const auto replicas = make_replicas(count, models);
    std::vector<placement::model_demand> demand;
    std::vector<placement_policy> policies;
    for (int i = 0; i < models; ++i) {
        const std::string name = "model-" + std::to_string(i);
        demand.push_back({name, 0.65 * count / models});
        policies.push_back({name, 14'000, 1, count});
    }
    placement::plan_state state;
    placement::weight_budget budget;
    steady_time now{std::chrono::hours{1}};
    const auto plan = [&] {
        now += seconds{1};
        placement::plan_placement(state, demand, replicas, policies, budget, {}, now);
    };
    plan();
    role.add("memory", "B", "replicas", count, heap_bytes() - before);
    role.add("plan", "ns", "replicas", count, min_ns_per_call(10, plan));
}

} // namespace

control_role measure_idempotency()
{
    control_role role{"idempotency", {}};
    for (const int rate : {10, 50, 200, 800}) {
        add_claims(role, rate);
    }
    for (const int claims : {100, 1000, 4000, 8000}) {
        add_record(role, claims);
    }
    for (const int entries : {1000, 2000, 4000, 8000}) {
        role.add("memory of outcomes", "B", "outcomes", entries, outcome_memory(entries, 0));
        role.add("memory of outcomes with 2 KB", "B", "outcomes", entries,
                 outcome_memory(entries, 2000));
    }
    return role;
}

control_role measure_placement()
{
    control_role role{"placement", {}};
    for (const int count : {10, 100, 1000, 10'000}) {
        add_plan(role, count);
    }
    return role;
}

control_role measure_decision_log()
{
    control_role role{"decision log", {}};
    manual_clock clock;
    for (const int candidates : {1, 2, 4, 8}) {
        granting::decision_log log{clock, 1000};
        int number = 0;
        role.add("line", "ns", "candidates", candidates, min_ns_per_call(2000, [&] {
                     add_decision(log, sample_id + std::to_string(++number), candidates);
                 }));
    }
    for (const int lines : {1000, 2500, 5000, 10'000}) {
        const double before = heap_bytes();
        granting::decision_log log{clock, 10'000};
        for (int i = 0; i < lines; ++i) {
            add_decision(log, sample_id + std::to_string(i), 8);
        }
        role.add("memory of lines", "B", "lines", lines, heap_bytes() - before);
    }
    return role;
}

} // namespace almondline::bench
