#pragma once

#include "bench/internal/simulation.h"
#include "routing/routing.h"
#include "scheduling/queue.h"

#include <string>
#include <vector>

namespace almondline::bench {

struct named_policy {
    std::string name;
    policy_maker make;
};

/// Returns this project's policy, followed by those that it is compared with.
std::vector<named_policy> all_policies();

policy_maker make_granter_policy();             ///< this project
policy_maker make_round_robin_policy();         ///< entries dispatch at once, round robin
policy_maker make_least_reported_policy();      ///< entries dispatch at once, by load report
policy_maker make_first_come_policy();          ///< one bounded queue, most free slots first
policy_maker make_gossip_policy(bool handover); ///< a queue per entry, with or without handover

/// Returns the tiers and kinds of the workload, with their floors and weights.
scheduling::queue_config bench_queue_config(std::size_t max_waiting);
routing::replica_table bench_replica_table(const deployment_config& deployment, steady_time now);

std::string replica_name(int index);
int replica_index(const std::string& name);
scheduling::credit_request make_credit_request(const simulation& sim,
                                               const simulated_request& request);
routing::request_shape make_shape(const scheduling::credit_request& request);
routing::finish_report make_finish_report(const simulated_request& request);
/// Returns the outcome of a request that the queue refused.
outcome outcome_of(const refusal& reason);

constexpr std::size_t bench_max_waiting = 1000;

// Message sizes in the compact protocol, without prefix blocks and variable-length text.
constexpr double credit_request_bytes = 130;
constexpr double block_bytes = 10;
constexpr double grant_bytes = 220;
constexpr double confirm_bytes = 90;
constexpr double release_bytes = 130;
constexpr double refusal_bytes = 160;

} // namespace almondline::bench
