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

/// This project's policy first, then the ones that it is compared with.
std::vector<named_policy> all_policies();

policy_maker make_granter_policy();             ///< this project
policy_maker make_round_robin_policy();         ///< entries dispatch at once, in turn
policy_maker make_least_reported_policy();      ///< entries dispatch at once, by load report
policy_maker make_first_come_policy();          ///< one bounded queue, most free slots first
policy_maker make_gossip_policy(bool handover); ///< a queue per entry; hand requests over or not

/// Floors and weights of the workload.
scheduling::queue_config bench_queue_config(std::size_t max_waiting);
routing::replica_table bench_replica_table(const deployment& where, steady_time now);

std::string replica_name(int index);
int replica_index(const std::string& name);
scheduling::credit_request make_credit_request(const simulation& sim, const request& what);
routing::request_shape make_shape(const scheduling::credit_request& what);
routing::finish_report make_finish_report(const request& what);
/// Outcome for a refusal of the queue.
outcome outcome_of(const refusal& why);

constexpr std::size_t bench_max_waiting = 1000;

// Sizes of messages in the compact protocol, without blocks and text of varying length.
constexpr double ask_bytes = 130;
constexpr double block_bytes = 10;
constexpr double grant_bytes = 220;
constexpr double confirm_bytes = 90;
constexpr double release_bytes = 130;
constexpr double refusal_bytes = 160;

} // namespace almondline::bench
