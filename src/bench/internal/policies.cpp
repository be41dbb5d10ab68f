#include "bench/internal/policies.h"
#include "scheduling/types/token_cost.h"

#include <algorithm>

namespace almondline::bench {

std::vector<named_policy> all_policies()
{
    return {{"almondline", make_granter_policy()},
            {"round-robin", make_round_robin_policy()},
            {"least-reported", make_least_reported_policy()},
            {"first-come", make_first_come_policy()},
            {"gossip", make_gossip_policy(false)},
            {"handover", make_gossip_policy(true)}};
}

scheduling::queue_config bench_queue_config(std::size_t max_waiting)
{
    scheduling::queue_config config;
    config.tiers = {{"urgent", 0}, {"normal", 0.15}, {"batch", 0.10}};
    config.kinds["draft"] = {"draft", 2, 0};
    config.kinds["check"] = {"check", 1, 0.05};
    config.max_waiting = max_waiting;
    return config;
}

routing::replica_table bench_replica_table(const deployment& where, steady_time now)
{
    routing::replica_table table;
    table.config.block_tokens = block_tokens;
    for (std::size_t i = 0; i < where.engines.size(); ++i) {
        const engine_class& engine = where.engines[i];
        routing::replica_spec spec;
        spec.id = replica_name(static_cast<int>(i));
        spec.address = spec.id;
        spec.engine_class = engine.name;
        spec.prefill_rate = engine.prefill_rate;
        spec.decode_rate = 1 / (engine.step_base + engine.step_per_stream);
        spec.kv_tokens = engine.kv_tokens;
        spec.max_in_flight = engine.max_in_flight;
        routing::update_replica(table, spec, now);
    }
    return table;
}

std::string replica_name(int index)
{
    return "r" + std::to_string(index);
}

int replica_index(const std::string& name)
{
    return std::stoi(name.substr(1));
}

scheduling::credit_request make_credit_request(const simulation& sim, const request& what)
{
    scheduling::credit_request made;
    made.request_id = what.id;
    made.account = "a" + std::to_string(what.account);
    made.kind = what.kind;
    made.tier = what.tier;
    made.cost = scheduling::token_cost(what.prompt, what.estimated_output);
    made.prompt_tokens = what.prompt;
    made.output_tokens = what.estimated_output;
    made.arrived = sim.clock();
    const std::chrono::duration<double> left{what.deadline - sim.now()};
    made.deadline = sim.clock() + std::chrono::duration_cast<steady_time::duration>(left);
    // The fastest engine, alone.
    made.estimated_service = std::chrono::milliseconds{
        static_cast<std::int64_t>(what.prompt / 32 + what.estimated_output * 12)};
    made.prefix_blocks = what.blocks;
    return made;
}

routing::request_shape make_shape(const scheduling::credit_request& what)
{
    routing::request_shape shape;
    shape.request_id = what.request_id;
    shape.model = what.model;
    shape.prompt_tokens = what.prompt_tokens;
    shape.output_tokens = what.output_tokens;
    shape.prefix_blocks = what.prefix_blocks;
    shape.excluded = what.excluded;
    return shape;
}

routing::finish_report make_finish_report(const request& what)
{
    const auto ms = [&](double time) {
        return std::chrono::milliseconds{static_cast<std::int64_t>(time * 1000)};
    };
    return {ms(what.first_token - what.dispatched), ms(what.finished - what.dispatched),
            what.prompt, what.output};
}

outcome outcome_of(const refusal& why)
{
    if (why.code == scheduling::code_shed) {
        return outcome::shed;
    }
    return why.code == scheduling::code_deadline ? outcome::deadline : outcome::account_limit;
}

} // namespace almondline::bench
