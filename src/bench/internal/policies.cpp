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

routing::replica_table bench_replica_table(const deployment_config& deployment, steady_time now)
{
    routing::replica_table table;
    table.config.block_tokens = block_tokens;
    for (std::size_t i = 0; i < deployment.engines.size(); ++i) {
        const engine_class& engine = deployment.engines[i];
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

scheduling::credit_request make_credit_request(const simulation& sim,
                                               const simulated_request& request)
{
    scheduling::credit_request result;
    result.request_id = request.id;
    result.account = "a" + std::to_string(request.account);
    result.kind = request.kind;
    result.tier = request.tier;
    result.cost = scheduling::token_cost(request.prompt, request.estimated_output);
    result.prompt_tokens = request.prompt;
    result.output_tokens = request.estimated_output;
    result.arrived = sim.clock();
    const std::chrono::duration<double> left{request.deadline - sim.now()};
    result.deadline = sim.clock() + std::chrono::duration_cast<steady_time::duration>(left);
    // On the fastest engine without other requests.
    result.estimated_service = std::chrono::milliseconds{
        static_cast<std::int64_t>(request.prompt / 32 + request.estimated_output * 12)};
    result.prefix_blocks = request.blocks;
    return result;
}

routing::request_shape make_shape(const scheduling::credit_request& request)
{
    routing::request_shape shape;
    shape.request_id = request.request_id;
    shape.model = request.model;
    shape.prompt_tokens = request.prompt_tokens;
    shape.output_tokens = request.output_tokens;
    shape.prefix_blocks = request.prefix_blocks;
    shape.excluded = request.excluded;
    return shape;
}

routing::finish_report make_finish_report(const simulated_request& request)
{
    const auto ms = [&](double time) {
        return std::chrono::milliseconds{static_cast<std::int64_t>(time * 1000)};
    };
    return {ms(request.first_token - request.dispatched), ms(request.finished - request.dispatched),
            request.prompt, request.output};
}

outcome outcome_of(const refusal& reason)
{
    if (reason.code == scheduling::code_shed) {
        return outcome::shed;
    }
    return reason.code == scheduling::code_deadline ? outcome::deadline : outcome::account_limit;
}

} // namespace almondline::bench
